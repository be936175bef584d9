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
		return r.adoptTable(t)
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

// adoptTable adopts a table that was requested. The entry instance that relays the
// declarations sends the changes to its data centre.
func (r *receiver) adoptTable(t frame.TableState) error {
	x := r.x
	x.endRequest(t.Table)
	changes, err := x.follower(t.Table).AdoptIfNewer(t.Content, r.source)
	if err != nil {
		x.cfg.Log.EventWithError(eventTableRejected, err, eventlog.Fields{"peer": r.source, "table": t.Table.Name()})
		return x.requestTable(r.conn, r.source, t.Table, x.heldRows(t.Table, err))
	}
	if changes.Until > 0 {
		x.metrics.tablesAdopted.Inc(1)
	}
	remote := r.dataCentre != x.cfg.Self.DataCentre
	if t.Table == catalog.TableDeclared && remote && len(changes.Rows) > 0 && x.lagLimit(t.Table, remote) == relayLag {
		x.SendChanges(t.Table, changes)
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
	return x.requestTables(r, update, lags)
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
// that has not been delivered here for too long; see lag.overdue and lagLimit. A table that
// was requested a short time ago is not requested again. A table of backend servers that
// another entry instance reads for this one is read from the store instead, because the
// peer's content lacks the servers that it lists only for a grace period.
func (x *Exchange) requestTables(r *receiver, update frame.LoadUpdate, lags map[catalog.Table]*lag) error {
	now, remote := x.cfg.Clock.Now(), r.dataCentre != x.cfg.Self.DataCentre
	for t, peerChange := range map[catalog.Table]catalog.Position{
		catalog.TableDeclared: {Era: update.DeclaredEra, Revision: update.DeclaredRevision},
		catalog.TableServers:  {Era: update.ServersEra, Revision: update.ServersRevision},
	} {
		follower := x.follower(t)
		follower.ObservePeerPosition(r.source, peerChange)
		if !lags[t].missingFor(follower.LastChange(), peerChange, now, x.lagLimit(t, remote)) || !x.allowRequest(t, now) {
			continue
		}
		if t == catalog.TableServers && follower.PollNow() {
			x.awaitNoResponse(t)
			continue
		}
		if err := x.requestTable(r.conn, r.source, t, x.heldRows(t, nil)); err != nil {
			return err
		}
	}
	return nil
}

// heldRows returns the rows of a table that a request for it names. rejected is the error for
// which the response to the last request was rejected; nil if none was. If the rows changed
// while that response was on its way, the next one fits the present rows; otherwise the
// request names none.
func (x *Exchange) heldRows(t catalog.Table, rejected error) map[catalog.Table]frame.HeldRows {
	if t != catalog.TableDeclared {
		return nil
	}
	if rejected != nil && !errors.Is(rejected, catalog.ErrNoBase) {
		return map[catalog.Table]frame.HeldRows{t: {}}
	}
	revisions, era := x.follower(t).Revisions()
	return map[catalog.Table]frame.HeldRows{t: {Revisions: revisions, Era: era}}
}

// requestTable requests one table from the peer at the other end of conn.
func (x *Exchange) requestTable(conn *frame.Conn, peer string, t catalog.Table, held map[catalog.Table]frame.HeldRows) error {
	x.metrics.tablesRequested.Inc(1)
	x.cfg.Log.Event(eventTablesRequested, eventlog.Fields{"peer": peer, "table": t.Name()})
	return conn.Send(frame.KindTableRequest, frame.TableRequest{Tables: []catalog.Table{t}, Held: held})
}
