package fleet

import (
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
)

var (
	eventAgent = eventlog.Define(140, "fleet-agent", logrus.InfoLevel,
		"An agent beside a model server connected to this entry instance.")
	eventAgentGone = eventlog.Define(141, "fleet-agent-gone", logrus.InfoLevel,
		"The connection of an agent ended; what its server holds is read from the list of servers.")
	eventAgentState = eventlog.Define(142, "fleet-agent-state", logrus.InfoLevel,
		"An agent reports what its server holds, or that it loads.")
	eventEntry = eventlog.Define(143, "fleet-entry", logrus.InfoLevel,
		"This agent is connected to an entry instance.")
	eventEntryGone = eventlog.Define(144, "fleet-entry-gone", logrus.InfoLevel,
		"The connection to an entry instance failed or ended; it is dialled again.")
)
