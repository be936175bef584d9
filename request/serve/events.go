package serve

import (
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

var (
	eventCallAdmitted     = eventlog.Define(400, "call-admitted", logrus.InfoLevel, "The agent admitted a call: the call got a slot.")
	eventCallRefused      = eventlog.Define(401, "call-refused", logrus.InfoLevel, "The agent refused a call; no part of it ran.")
	eventCallCompleted    = eventlog.Define(402, "call-whole", logrus.InfoLevel, "The complete response of the engine or service was forwarded to the entry instance.")
	eventCallFailed       = eventlog.Define(403, "call-broken", logrus.WarnLevel, "A call failed after it was admitted, for example because the engine or service failed, its response ended early, the deadline passed, or the entry instance disconnected.")
	eventSlotHeld         = eventlog.Define(404, "slot-held", logrus.InfoLevel, "A slot is held for an offered once-only call.")
	eventOnceStarted      = eventlog.Define(405, "once-started", logrus.InfoLevel, "A once-only call was started.")
	eventOnceEnded        = eventlog.Define(406, "once-ended", logrus.InfoLevel, "A once-only call ended; the fields give its result. A known outcome is kept for later queries.")
	eventAttemptQueried   = eventlog.Define(407, "attempt-asked", logrus.InfoLevel, "An entry instance queried whether an attempt ran; unless the attempt has started, it is forbidden from now on.")
	eventLeaving          = eventlog.Define(408, "agent-leaving", logrus.InfoLevel, "The agent refuses new calls from now on.")
	eventDrained          = eventlog.Define(409, "agent-drained", logrus.InfoLevel, "No call is in flight at the agent any more.")
	eventResponseMismatch = eventlog.Define(415, "answer-mismatch", logrus.ErrorLevel, "The response of the engine or service belongs to another request or does not come from the pinned model version; it was not forwarded.")
)
