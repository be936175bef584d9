package exchange

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// sendInterval is the time between two messages while counts change. A
	// backend server that receives 12 requests per second receives about half a
	// request in this time, so its count changes little between two messages.
	sendInterval = 50 * time.Millisecond
	// relayInterval is the same for reports about a whole data centre, which go to
	// other data centres. Few requests go there.
	relayInterval = 100 * time.Millisecond
	// heartbeatInterval is the longest time between two messages, also while no
	// count changes.
	heartbeatInterval = 500 * time.Millisecond
	// changeQueueLength is the number of changes of tables that wait to be sent on one
	// connection. A receiver that misses changes reads the store itself.
	changeQueueLength = 32
)

// sender sends reports on one connection: about this entry instance to a peer, or
// about its data centre to a follower.
type sender struct {
	x    *Exchange
	conn *frame.Conn
	// peerAddr is the address of the peer; empty if the reports go to a follower.
	peerAddr string
	// sentRunning, sentAgents and sentEntryCount are what the receiver already has:
	// the counts, the agents by server address, and the length of x.learned.
	sentRunning    map[string]int
	sentAgents     map[string]frame.RelayedAgent
	sentEntryCount int
	// sentEvidence is the number of the last change of evidence that the receiver has.
	sentEvidence uint64
	// takesPatches is true if the receiver takes patches of rows.
	takesPatches atomic.Bool
	// sentDeclared is the position in the declarations that the receiver knows.
	sentDeclared catalog.Position
	// lastHeartbeat is the time of the last heartbeat; zero before the first report.
	lastHeartbeat time.Time
}

func (x *Exchange) newSender(conn *frame.Conn, peerAddr string) *sender {
	return &sender{x: x, conn: conn, peerAddr: peerAddr, sentRunning: map[string]int{}, sentAgents: map[string]frame.RelayedAgent{}}
}

// run sends reports, and the tables that the receiver requests, until ctx or the
// connection ends. To a peer of its data centre it also sends the changes that this
// entry instance reads from the store.
func (s *sender) run(ctx context.Context) error {
	interval := sendInterval
	var changes chan frame.TableChanges
	if s.peerAddr == "" {
		interval = relayInterval
	} else {
		changes = s.x.addChangeQueue(s.peerAddr)
		defer s.x.removeChangeQueue(changes)
	}
	requestsEnded := make(chan error, 1)
	go func() { requestsEnded <- s.serveTableRequests() }()
	for {
		if err := s.sendReport(s.x.cfg.Clock.Now()); err != nil {
			return err
		}
		next := s.x.cfg.Clock.After(interval)
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return nil
			case err := <-requestsEnded:
				return err
			case c := <-changes:
				if err := s.conn.Send(frame.KindTableChanges, s.encodable(c)); err != nil {
					return err
				}
				s.x.metrics.changesSent.Inc(1)
			case <-next:
				waiting = false
			}
		}
	}
}

// encodable returns c as the receiver takes it: rows have either patches or values.
func (s *sender) encodable(c frame.TableChanges) frame.TableChanges {
	patches := s.takesPatches.Load()
	rows := make([]catalog.Row, 0, len(c.Changes.Rows))
	for _, r := range c.Changes.Rows {
		if patches {
			r = r.WithoutValue()
		} else {
			r = r.WithoutPatches()
		}
		rows = append(rows, r)
	}
	c.Changes.Rows = rows
	return c
}

// sendReport sends what has changed since the last report, and a heartbeat if one is
// due.
func (s *sender) sendReport(now time.Time) error {
	x := s.x
	declared, servers := x.cfg.DeclaredFollower.LastChange(), x.cfg.ServersFollower.LastChange()
	update := frame.LoadUpdate{
		DeclaredRevision: declared.Revision, ServersRevision: servers.Revision,
		DeclaredEra: declared.Era, ServersEra: servers.Era,
		Complete: s.lastHeartbeat.IsZero(), Entries: x.learnedSince(s.sentEntryCount),
	}
	var sentEvidence uint64
	update.Evidence, sentEvidence = x.cfg.Evidence.Evidence(s.sentEvidence, s.evidenceScope(update.Complete))
	running := map[string]int(nil)
	if s.peerAddr == "" {
		running, update.InstanceCount = x.cfg.LoadTracker.RunningInDataCentre()
		update.Agents, update.GoneAgents = s.changedAgents(x.cfg.Agents.LocalAgents())
	} else {
		running = x.cfg.LoadTracker.RunningByServer()
	}
	update.RunningByServer = changedCounts(s.sentRunning, running)
	if heartbeatDue := now.Sub(s.lastHeartbeat) >= heartbeatInterval; heartbeatDue {
		update.DeclaredVersions, update.ReadAgesMs = x.recentVersions(now), x.readAges(now)
		update.StoreContact = x.storeContact(now)
		s.lastHeartbeat = now
	} else if declared == s.sentDeclared && len(update.RunningByServer)+len(update.Entries)+len(update.Agents)+len(update.GoneAgents) == 0 && update.Evidence.Empty() {
		return nil
	}
	s.sentEntryCount += len(update.Entries)
	s.sentEvidence, s.sentDeclared = sentEvidence, declared
	return s.conn.Send(frame.KindLoadUpdate, update)
}

// evidenceScope returns which changes of evidence the receiver does not get from others:
// those of this entry instance, or those of its data centre if the receiver follows the
// data centre. A new connection gets all, because the receiver may have just started.
func (s *sender) evidenceScope(first bool) EvidenceScope {
	switch {
	case first:
		return ObservedAnywhere
	case s.peerAddr == "":
		return ObservedNear
	}
	return ObservedHere
}

// changedAgents returns the agents in current that differ from those in sentAgents,
// and the server addresses of those that are missing in current. It updates
// sentAgents to match current.
func (s *sender) changedAgents(current map[string]frame.RelayedAgent) (changed []frame.RelayedAgent, gone []string) {
	for server, a := range current {
		old, ok := s.sentAgents[server]
		if ok && old.Instance == a.Instance && old.Loading == a.Loading && old.Proven.Equal(a.Proven) && maps.Equal(old.LoadedVersions, a.LoadedVersions) {
			continue
		}
		s.sentAgents[server] = a
		changed = append(changed, a)
	}
	for server := range s.sentAgents {
		if _, ok := current[server]; !ok {
			delete(s.sentAgents, server)
			gone = append(gone, server)
		}
	}
	return changed, gone
}

// changedCounts returns the counts in current that differ from those in sent, and
// 0 for servers that have a count in sent but are missing in current. It updates
// sent to match current.
func changedCounts(sent, current map[string]int) map[string]int {
	changed := map[string]int{}
	for id, n := range current {
		if sent[id] != n {
			changed[id], sent[id] = n, n
		}
	}
	for id, n := range sent {
		if _, ok := current[id]; !ok {
			if n != 0 {
				changed[id] = 0
			}
			delete(sent, id)
		}
	}
	return changed
}

// ageSendPeriod is how long after the declaration of a version of the weights
// the version's age is sent to peers. A peer that was paused or disconnected
// receives the declaration late and has no other source for the age.
const ageSendPeriod = 20 * time.Second

// recentVersions returns the versions of the weights declared within the last
// ageSendPeriod, with their ages.
func (x *Exchange) recentVersions(now time.Time) []frame.WantedVersion {
	var recent []frame.WantedVersion
	for _, w := range x.cfg.Holder.Current().RecentVersions(now, ageSendPeriod) {
		recent = append(recent, frame.WantedVersion{
			Model: w.Model, Version: w.Version, AgeMs: now.Sub(w.DeclaredAt).Milliseconds(),
		})
	}
	return recent
}

// serveTableRequests sends the tables that the receiver of the reports requests,
// until the connection ends. It adds the receiver to the known entry instances if the
// receiver introduces itself.
func (s *sender) serveTableRequests() error {
	for {
		f, err := s.conn.Receive(time.Time{})
		if err != nil {
			return err
		}
		switch f.Kind {
		case frame.KindEntryHello:
			var hello frame.EntryHello
			if err := f.Decode(&hello); err != nil {
				return err
			}
			s.x.AddPeer(hello.Instance.Addr, hello.Instance.DataCentre)
			s.takesPatches.Store(hello.Patches)
		case frame.KindTableRequest:
			if err := s.sendTables(f); err != nil {
				return err
			}
		}
	}
}

// sendTables sends the tables that a TableRequest lists.
func (s *sender) sendTables(f frame.Frame) error {
	var request frame.TableRequest
	if err := f.Decode(&request); err != nil {
		return err
	}
	for _, t := range request.Tables {
		if t != catalog.TableDeclared && t != catalog.TableServers {
			continue
		}
		content := catalog.TableContent{}
		if held, ok := request.Held[t]; ok {
			content = s.x.follower(t).ContentSince(held.Revisions, held.Era)
		} else {
			content = s.x.follower(t).Content()
		}
		if err := s.conn.Send(frame.KindTable, frame.TableState{Table: t, Content: content}); err != nil {
			return err
		}
		s.x.metrics.countTableSent(content)
	}
	return nil
}
