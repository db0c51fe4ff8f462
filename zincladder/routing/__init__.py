"""The decisions of one router, without I/O: events and a time in, actions out.

`router.Router` takes each event to the rules, a module for each; `state.RouterState` is what they share, and
`interface` has the types of events and actions. Where to look when a running router surprises:

- A request was rejected with Retry-After: `Router._plan_attempt` lists the reasons in their order, and
  `Router._on_request` has one more, `load_shedding.is_hopeless`. `retry.client_may_retry` says which
  requests fail instead.
- An endpoint gets no requests: `selection.select_endpoint` lists what is passed by. `outlier_ejection` says
  what ejects an endpoint and what brings it back, `slow_start` what one that has just started is given.
- Retries feed an overload: lower `budgets.RETRIES_PER_SUCCESS`, then `retry.MAX_ATTEMPTS`.
- Fills feed an overload of the origin: `fill_throttle`; while parents fail, lower
  `budgets.ORIGIN_FILLS_PER_REQUEST`.
- Too much is rejected under load: raise `load_shedding.MAX_OBJECTIVE_OVERRUN`, then
  `fill_throttle.TOLERATED_OVERLOADED_SHARE`.
- A copy from before a purge was served: `copy_age`.
"""
