package dispatch

import (
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

var eventRequestLimit = eventlog.Define(548, "server-limit", logrus.InfoLevel,
	"A server names a limit of the requests per second that it takes from all entry instances together, names another one than before, or names none any more.")

// requestLimit is the limit of requests that a server names in its responses.
type requestLimit struct {
	// boot is the boot of the server that names the limit.
	boot string
	// limited is false if the server names none. perSecond is the number of requests
	// per second.
	limited   bool
	perSecond float64
}

// RecordLimit records the limit of requests per second that a server names in a
// response; limited is false if it names none.
func (s *Scheduler) RecordLimit(server *catalog.Server, perSecond float64, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := requestLimit{boot: server.Boot(), limited: limited, perSecond: perSecond}
	st := s.stateOf(server.ID)
	if named == st.requestLimit || !limited && !st.requestLimit.limited {
		return
	}
	st.requestLimit = named
	s.cfg.Log.Event(eventRequestLimit, eventlog.Fields{"server": server.ID, "limited": limited, "perSecond": perSecond})
}
