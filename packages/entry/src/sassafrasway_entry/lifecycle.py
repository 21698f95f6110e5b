"""Lifecycle of an entry instance: starting, ready, leaving, stopped."""

import structlog
import transitions

STARTING = "starting"
READY = "ready"
LEAVING = "leaving"
STOPPED = "stopped"


class Lifecycle:
    """State machine of the process.

    The library ``transitions`` adds the attribute ``state`` and, for each trigger, a method:
    ``become_ready``, ``leave`` and ``stop``. In a state that is not a source of the trigger, the
    method has no effect; ``become_ready`` may be called after ``leave`` when a stop was requested
    during the startup.

    A leaving instance keeps serving, because callers may use cached lookups that name it.
    """

    def __init__(self):
        self._log = structlog.get_logger("lifecycle")
        self._machine = transitions.Machine(
            model=self,
            states=[STARTING, READY, LEAVING, STOPPED],
            initial=STARTING,
            transitions=[
                {"trigger": "become_ready", "source": STARTING, "dest": READY},
                {"trigger": "leave", "source": [STARTING, READY], "dest": LEAVING},
                {"trigger": "stop", "source": LEAVING, "dest": STOPPED},
            ],
            ignore_invalid_triggers=True,
            after_state_change="_log_state",
        )

    @property
    def serving(self) -> bool:
        """Whether requests of callers are accepted."""
        return self.state in (READY, LEAVING)

    @property
    def leaving(self) -> bool:
        """Whether a planned stop is in progress."""
        return self.state == LEAVING

    def _log_state(self) -> None:
        self._log.info("state changed", state=self.state)
