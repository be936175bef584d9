package exchange

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/version/catalog"
)

const (
	// receiveTimeout is the time without a message, or without a further byte of one, after
	// which the receiver closes the connection.
	receiveTimeout = 2 * time.Second
	// followTimeout is the same for a connection through which a data centre is
	// followed: another entry instance there can report instead.
	followTimeout = 1200 * time.Millisecond
)

// errNoLongerFollowed ends the connection of a peer in another data centre when that
// data centre is no longer followed. The peer then connects again and reports its
// complete load.
var errNoLongerFollowed = errors.New("data centre of the peer is no longer followed")

// receiver handles the messages on one connection.
type receiver struct {
	x    *Exchange
	conn *frame.Conn
	// source names the source of the reported load: a peer or a data centre.
	source string
	// dataCentre is the data centre of the source.
	dataCentre string
	// follows is true if the reports are about the whole data centre.
	follows bool
	// ignored is true if the last load report was ignored because the data centre of
	// the peer is followed through another connection.
	ignored bool
}

// run handles messages until the connection ends.
func (r *receiver) run() error {
	lags := map[catalog.Table]*lag{catalog.TableDeclared: {}, catalog.TableServers: {}}
	timeout := receiveTimeout
	if r.follows {
		timeout = followTimeout
	}
	for {
		f, err := r.conn.ReceiveWithin(timeout)
		if err == nil {
			err = r.handle(f, lags)
		}
		if err != nil {
			return err
		}
	}
}

// handle handles one message.
func (r *receiver) handle(f frame.Frame, lags map[catalog.Table]*lag) error {
	switch f.Kind {
	case frame.KindLoadUpdate:
		var update frame.LoadUpdate
		if err := f.Decode(&update); err != nil {
			return err
		}
		if err := r.applyLoad(update); err != nil {
			return err
		}
		return r.applyUpdate(update, lags)
	case frame.KindTable:
		var t frame.TableState
		if err := f.Decode(&t); err != nil {
			return err
		}
		if r.x.follower(t.Table).AdoptIfNewer(t.Content, r.source) {
			r.x.metrics.tablesAdopted.Inc(1)
		}
	case frame.KindTableChanges:
		var c frame.TableChanges
		if err := f.Decode(&c); err != nil {
			return err
		}
		c.Changes.From = r.source
		r.x.follower(c.Table).ApplyFromPeer(c.Changes)
	}
	return nil
}

// applyLoad stores the reported load. The load of a peer in a data centre that is
// followed is left out, because it is included in the load of the data centre.
func (r *receiver) applyLoad(update frame.LoadUpdate) error {
	report := LoadReport{
		RunningByServer: update.RunningByServer, Complete: update.Complete, InstanceCount: update.InstanceCount,
		Remote: r.dataCentre != r.x.cfg.Self.DataCentre, DataCentre: r.dataCentre,
	}
	if !r.follows && report.Remote && r.x.isFollowed(r.dataCentre) {
		r.ignored = true
		return nil
	}
	if r.ignored {
		return errNoLongerFollowed
	}
	r.x.cfg.LoadTracker.UpdatePeerLoads(r.source, report)
	return nil
}

// applyUpdate handles the parts of a report other than the load.
func (r *receiver) applyUpdate(update frame.LoadUpdate, lags map[catalog.Table]*lag) error {
	x := r.x
	for _, e := range update.Entries {
		x.AddPeer(e.Addr, e.DataCentre)
	}
	if r.follows {
		x.cfg.Agents.UpdateRelayed(r.dataCentre, update.Complete, update.Agents, update.GoneAgents)
	} else if r.dataCentre == x.cfg.Self.DataCentre {
		x.recordReads(r.source, update.ReadAgesMs)
	}
	if c := update.StoreContact; c != nil {
		now := x.cfg.Clock.Now()
		x.cfg.ServersFollower.ObserveContact(r.source, r.dataCentre, now.Add(-time.Duration(c.FromAgeMs)*time.Millisecond), now.Add(-time.Duration(c.UntilAgeMs)*time.Millisecond))
	}
	x.applyAges(update.DeclaredVersions)
	if err := x.cfg.Evidence.MergeEvidence(update.Evidence, r.dataCentre == x.cfg.Self.DataCentre); err != nil {
		x.cfg.Log.EventWithError(eventEvidenceRejected, err, eventlog.Fields{"peer": r.source})
	}
	return x.requestTables(r.conn, r.source, update, lags)
}

// applyAges stores the ages of declared versions that a peer sent.
func (x *Exchange) applyAges(weights []frame.WantedVersion) {
	now := x.cfg.Clock.Now()
	for _, w := range weights {
		declaredAt := now.Add(-time.Duration(w.AgeMs) * time.Millisecond)
		x.cfg.Holder.MergeWeights(catalog.Weights{Model: w.Model, Version: w.Version, DeclaredAt: declaredAt}, now)
	}
}

// requestTables requests from the peer each table of which the peer has a revision
// that has not been delivered here for too long; see lag.overdue. A table that was
// requested within maxLag is not requested again. A table that another entry instance
// reads for this one is read from the store instead.
func (x *Exchange) requestTables(conn *frame.Conn, peer string, update frame.LoadUpdate, lags map[catalog.Table]*lag) error {
	var request frame.TableRequest
	now := x.cfg.Clock.Now()
	for t, peerChange := range map[catalog.Table]catalog.Position{
		catalog.TableDeclared: {Era: update.DeclaredEra, Revision: update.DeclaredRevision},
		catalog.TableServers:  {Era: update.ServersEra, Revision: update.ServersRevision},
	} {
		x.follower(t).ObservePeerPosition(peer, peerChange)
		if lags[t].overdue(x.follower(t).LastChange(), peerChange, now) && x.allowRequest(t, now) && !x.follower(t).PollNow() {
			request.Tables = append(request.Tables, t)
		}
	}
	if len(request.Tables) == 0 {
		return nil
	}
	x.metrics.tablesRequested.Inc(int64(len(request.Tables)))
	x.cfg.Log.Event(eventTablesRequested, eventlog.Fields{"peer": peer, "tables": len(request.Tables)})
	return conn.Send(frame.KindTableRequest, request)
}
