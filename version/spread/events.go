package spread

import (
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

// The events of spreading.
var (
	eventObject = eventlog.Define(301, "chunk-fetched", logrus.InfoLevel,
		"A chunk or manifest was fetched and its digest checked; fields name the version, the chunk, the source, its bytes and the time taken.")
	eventCorrupt = eventlog.Define(302, "chunk-corrupt", logrus.WarnLevel,
		"A chunk or manifest arrived with bytes that do not match its digest and was thrown away; it is fetched again.")
	eventSuspect = eventlog.Define(303, "peer-suspect", logrus.WarnLevel,
		"A peer did not answer or stalled; other peers are asked instead for a while.")
	eventOrigin = eventlog.Define(304, "origin-unavailable", logrus.WarnLevel,
		"The weight store could not be read; neighbours that hold the chunk are asked, then the store again.")
	eventFetched = eventlog.Define(305, "version-fetched", logrus.InfoLevel,
		"Every chunk of a version is held and verified; fields sum the bytes by source.")
	eventFetch = eventlog.Define(306, "version-fetch-started", logrus.InfoLevel,
		"The agent begins to fetch a version; fields give its chunks and bytes, and how many chunks this agent owns.")
	eventFleetOwner = eventlog.Define(308, "fleet-owner-failed", logrus.InfoLevel,
		"The agent that owns a chunk among all agents did not give it; the next one is asked, or the origin is read here.")
	eventRetry = eventlog.Define(307, "chunk-retry", logrus.InfoLevel,
		"No source gave the chunk in this round; it is tried again after a pause.")
)
