"""The decisions of one router, without I/O: each call takes an event and the time and returns actions.

`router.Router` passes each event to the modules that it concerns; `state.RouterState` is the state that they
share, and `interface` defines the events and actions. Where to look when a router behaves unexpectedly:

- A request was rejected with Retry-After: `Router._plan_attempt` lists the reasons in the order in which they
  are checked. `Router._on_request` rejects requests that `load_shedding.would_miss_deadline`.
  `Router._on_attempt_ended` rejects a request if another attempt is pointless (`retry.plan_retry`) or if its
  last attempt was not sent. `retry.client_may_retry` decides which requests fail instead. Requests can also
  be rejected before they reach the Router: without a policy lease, or just after the rules of their class
  were replaced (`Core.paused_seconds`); without a current endpoint list (`Core.serve`); and by admission
  (`net/client_calls.py`, log event `request shed`).
- An endpoint gets no requests: `selection.select_endpoint` lists the reasons for skipping an endpoint.
  `outlier_ejection` decides when an endpoint is ejected and reinstated; `slow_start` limits the requests to
  an endpoint that has just started.
- Retries feed an overload: lower `budgets.RETRIES_PER_SUCCESS`, then `retry.MAX_ATTEMPTS`.
- Fills feed an overload of the origin: see `fill_throttle`; if it happens while parents fail, lower
  `budgets.ORIGIN_FILLS_PER_REQUEST`.
- Too many requests are rejected under load: raise `load_shedding.MAX_OBJECTIVE_OVERRUN`, then
  `fill_throttle.TOLERATED_OVERLOADED_SHARE`. The log event `request shed` means that admission rejected the
  request: see `MAX_LOOP_LAG_SECONDS` in `admission/request_control.py` and, if admission by source is
  disabled, in `admission/connection_admission.py`; `config/limits.py` derives the limit of open requests.
- A copy from before a purge was served: see `copy_age`.
"""
