package spread

import (
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

// Log events of fetching and verifying objects.
var (
	eventChunkFetched = eventlog.Define(301, "chunk-fetched", logrus.InfoLevel,
		"A chunk or manifest was fetched and its digest verified; fields give the version, the digest, the source, the size in bytes and the time taken.")
	eventChunkCorrupt = eventlog.Define(302, "chunk-corrupt", logrus.WarnLevel,
		"The received bytes of a chunk or manifest do not match its digest and were discarded; it is fetched again.")
	eventPeerSuspect = eventlog.Define(303, "peer-suspect", logrus.WarnLevel,
		"A peer did not respond or stalled; requests go to other peers for a while.")
	eventOriginUnavailable = eventlog.Define(304, "origin-unavailable", logrus.WarnLevel,
		"The origin could not be read; the chunk is requested from other peers that hold it, then from the origin again.")
	eventVersionFetched = eventlog.Define(305, "version-fetched", logrus.InfoLevel,
		"Every chunk of a version is held and verified; fields give the size in bytes and the time taken.")
	eventVersionFetchStarted = eventlog.Define(306, "version-fetch-started", logrus.InfoLevel,
		"The agent begins to fetch a version; fields give the number of chunks, the size in bytes and the number of chunks that this agent owns.")
	eventAllRegionsOwnerFailed = eventlog.Define(308, "fleet-owner-failed", logrus.InfoLevel,
		"The agent that owns a chunk among all agents did not deliver it; this agent requests it from the next owner or reads the origin itself.")
	eventChunkRetry = eventlog.Define(307, "chunk-retry", logrus.InfoLevel,
		"No source delivered the chunk in this round; the fetch is retried after a delay.")
)
