"""The decisions of one router, without I/O: events and a time in, actions out.

`router.Router` takes each event to the rules, a module for each; `state.RouterState` is what they share, and
`interface` has the types of events and actions. Where to look when a running router surprises:

- A request was rejected with Retry-After: `Router._plan_attempt` lists the reasons in their order;
  `Router._on_request` has one more, `load_shedding.is_hopeless`, and `Router._on_attempt_ended` two: another
  attempt has no point (`retry.plan_retry`), or the last one was not sent. `retry.client_may_retry` says which
  requests fail instead. Before the Router: `Core.paused_seconds` (policy's lease), `Core.serve` (endpoint
  list), and admission (`net/client_calls.py`, log line `request shed`).
- An endpoint gets no requests: `selection.select_endpoint` lists what is passed by. `outlier_ejection` says
  what ejects an endpoint and what brings it back, `slow_start` what one that has just started is given.
- Retries feed an overload: lower `budgets.RETRIES_PER_SUCCESS`, then `retry.MAX_ATTEMPTS`.
- Fills feed an overload of the origin: `fill_throttle`; while parents fail, lower
  `budgets.ORIGIN_FILLS_PER_REQUEST`.
- Too much is rejected under load: raise `load_shedding.MAX_OBJECTIVE_OVERRUN`, then
  `fill_throttle.TOLERATED_OVERLOADED_SHARE`. A log line `request shed` means admission instead:
  `MAX_LOOP_LAG_SECONDS` in `admission/`, and `config/limits.py`.
- A copy from before a purge was served: `copy_age`.
"""
