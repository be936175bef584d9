package loading

import (
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

var (
	eventWanted = eventlog.Define(340, "load-wanted", logrus.InfoLevel,
		"The agent received the declaration of a version that its server should hold.")
	eventStaged = eventlog.Define(341, "load-staged", logrus.InfoLevel,
		"Every chunk of a version is staged at the server.")
	eventOrdered = eventlog.Define(342, "load-ordered", logrus.InfoLevel,
		"The server accepted the order to load a version; its staged chunks were verified just before.")
	eventLoaded = eventlog.Define(343, "load-confirmed", logrus.InfoLevel,
		"The server reports that it holds the version.")
	eventFailed = eventlog.Define(344, "load-failed", logrus.WarnLevel,
		"A step of loading weights failed; the agent retries the step.")
	eventCorrupt = eventlog.Define(345, "load-piece-rotten", logrus.WarnLevel,
		"A staged chunk is missing or does not match its digest, or it could not be read, which the error says; the agent stages the chunk again.")
	eventFetched = eventlog.Define(347, "load-fetched", logrus.InfoLevel,
		"The agent has the chunks of a version in its store; held is true if the agent copied the intact chunks from the server, which already holds the version.")
	eventFetching = eventlog.Define(348, "load-fetching", logrus.InfoLevel,
		"The agent starts to fetch a version; agents is the number of agents in its list, sources the number of those among which the chunks are divided.")
	eventSuperseded = eventlog.Define(350, "load-superseded", logrus.InfoLevel,
		"The agent ends the fetch of a version because it will load a newer one instead.")
	eventBridge = eventlog.Define(351, "load-bridge", logrus.InfoLevel,
		"While a newer version is declared (newest) and not fetched, the agent decides whether its server loads the older one (load), by the expected times until the newest is fetched (newestInMs) and until the server is empty (emptyMs).")
	eventDisproved = eventlog.Define(349, "load-disproved", logrus.WarnLevel,
		"The server may have loaded wrong chunks; the agent keeps the server out of use and has it load again.")
	eventServerChanged = eventlog.Define(346, "load-server-changed", logrus.InfoLevel,
		"The server beside the agent restarted or reports different weights than before.")
)
