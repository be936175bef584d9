package orders

import (
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

// The events that the controller logs.
var (
	eventPlacementWanted = eventlog.Define(320, "placement-wanted", logrus.InfoLevel,
		"The versions that this backend server should load have changed; the fields give the versions with their ranks and the configuration number.")
	eventOrderGiven = eventlog.Define(321, "order-given", logrus.InfoLevel,
		"The engine accepted an order; the fields give the action, the version, the fencing number and the source of that number.")
	eventOrderFailed = eventlog.Define(322, "order-failed", logrus.WarnLevel,
		"The engine refused an order or did not respond; the order is sent again if the engine's next report shows that it is still needed.")
	eventOrderConfirmed = eventlog.Define(323, "order-confirmed", logrus.InfoLevel,
		"The engine's report shows the effect of an order.")
	eventOrderOverdue = eventlog.Define(324, "order-overdue", logrus.WarnLevel,
		"The engine accepted an order but restarted or did not report its effect in time; the order is sent again if still needed.")
	eventFenceUnavailable = eventlog.Define(325, "fence-unavailable", logrus.WarnLevel,
		"No fencing number could be taken from the table; only loads into a free slot are ordered until the table is available again.")
	eventAgentSuperseded = eventlog.Define(326, "agent-superseded", logrus.WarnLevel,
		"Another agent has taken a newer fencing number for this backend server; this agent sends no orders.")
	eventRolloutWaits = eventlog.Define(327, "rollout-waits", logrus.InfoLevel,
		"The next order for a version is delayed; the field reason gives the cause.")
	eventVersionFetchFailed = eventlog.Define(328, "version-fetch-failed", logrus.WarnLevel,
		"A version could not be fetched; the fetch is retried.")
	eventVersionDistrusted = eventlog.Define(329, "version-distrusted", logrus.WarnLevel,
		"The engine's response to a call carried a digest other than that of the requested version, although the engine reports that version as loaded; the engine is ordered to load the version again.")
	eventChunksDropped = eventlog.Define(330, "chunks-dropped", logrus.InfoLevel,
		"Chunks of versions that are no longer wanted were dropped because the store was full.")
)
