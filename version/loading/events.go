package loading

import (
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

var (
	eventWanted = eventlog.Define(340, "load-wanted", logrus.InfoLevel,
		"A version of the weights is to be brought to the server beside this agent.")
	eventStaged = eventlog.Define(341, "load-staged", logrus.InfoLevel,
		"Every piece of a version is staged at the server.")
	eventOrdered = eventlog.Define(342, "load-ordered", logrus.InfoLevel,
		"The server accepted the order to load a version whose staged pieces had just been checked.")
	eventLoaded = eventlog.Define(343, "load-confirmed", logrus.InfoLevel,
		"The server reports that it holds the version.")
	eventFailed = eventlog.Define(344, "load-failed", logrus.WarnLevel,
		"A step of bringing weights to the server failed; it is tried again.")
	eventRotten = eventlog.Define(345, "load-piece-rotten", logrus.WarnLevel,
		"A staged piece no longer had its digest and was staged again.")
	eventFetched = eventlog.Define(347, "load-fetched", logrus.InfoLevel,
		"Every piece of a version is held by this agent; held says that the server has the version already.")
	eventFetching = eventlog.Define(348, "load-fetching", logrus.InfoLevel,
		"This agent begins to fetch a version; fields give the agents that it knows and those among which the pieces are dealt.")
	eventServer = eventlog.Define(346, "load-server-changed", logrus.InfoLevel,
		"The server beside this agent started anew, or reports other weights than before.")
)
