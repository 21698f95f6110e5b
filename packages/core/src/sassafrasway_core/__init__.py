"""Data model and decision logic of sassafrasway, without network or disk access.

The entry package does the I/O for these modules; other packages use single ones, such as
``errors``. By subject:

- Policies: ``model`` has the data classes, ``documents`` parses and changes policies with
  ``policy_schema`` and ``policy_checks``, and ``config_log`` keeps the current policy.
- Region of a request: ``lookup`` finds the home region of a client address, and ``shift`` moves
  requests to another region.
- Slots: ``pool`` leases the slots of the backend servers of one pool, with ``health`` and the
  modules ``pool_*``. ``placement`` decides which instance may use which slots.
- Ownership of pools: ``region`` explains it and has the messages. ``coordinator`` decides with
  ``authority``, ``holdings`` and ``assignment`` which instance is granted which pool; ``member``
  and ``ownership`` are the instance's side. ``membership`` and ``share`` belong to both.
- Caps: ``caps`` divides one cap among instances with ``cap_reserve``, ``cap_grants`` applies this
  to all caps of a region, and ``window`` limits what an instance admits.
- Requests: ``at_most_once`` has the idempotency keys, ``quarantine`` the requests that crash
  servers, and ``retry`` the retry budgets and deadlines.
- All modules: ``clock``, ``errors`` and ``invariants``.
"""
