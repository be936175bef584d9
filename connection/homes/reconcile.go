package homes

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v4"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
)

const (
	// firstBackoff is the first wait before a home is dialled again.
	firstBackoff = 100 * time.Millisecond
	// maxBackoff is the longest wait before a home is dialled again. After an
	// attempt that lasted longer than maxBackoff, the wait is firstBackoff again.
	maxBackoff = 3 * time.Second
)

// endpoint identifies one process of an entry instance by instance ID and network
// address.
type endpoint struct{ id, addr string }

// endpointOf returns the endpoint of an instance.
func endpointOf(in core.Instance) endpoint { return endpoint{id: in.ID, addr: in.Addr} }

// registration describes the registration with one home, including its renewals
// after a lost connection. Homes.mu guards wanted and ended.
type registration struct {
	ctx    context.Context
	cancel context.CancelFunc
	home   core.Instance
	// wanted is true while Select chooses the home. While it is true, the agent
	// registers again after a lost connection.
	wanted bool
	// ended is true once the connection was lost while wanted was false; the agent
	// does not register again.
	ended bool
}

// reconcile compares the registrations with the list of instances. It ends the
// registrations that are no longer needed and returns new ones, which the caller
// starts.
//
// An accepted registration proves that the entry instance is running. While the
// list lacks the entry instance or marks it as leaving, the registration stays
// until the entry instance ends it, because the load balancer may still send
// calls there. reconcile ends an accepted registration only if the list contains
// the entry instance and does not mark it as leaving, but Select no longer
// chooses it.
func (h *Homes) reconcile(ctx context.Context) []*registration {
	members := h.members.All()
	chosen := Select(h.cfg.Self, members, h.cfg.MaxLocalHomes, h.cfg.HomesPerRemoteDataCentre, h.cfg.MinHomes)
	h.heartbeatInterval.Store(int64(HeartbeatInterval(h.cfg.BaseHeartbeatInterval, members, len(chosen))))
	active := map[endpoint]bool{}
	for _, in := range members {
		active[endpointOf(in)] = !in.Leaving
	}

	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.registrations {
		r.wanted = false
	}
	var started []*registration
	for _, home := range chosen {
		key := endpointOf(home)
		if r := h.registrations[key]; r != nil && !r.ended {
			r.wanted = true
			continue
		}
		r := &registration{home: home, wanted: true}
		r.ctx, r.cancel = context.WithCancel(ctx)
		h.registrations[key] = r
		started = append(started, r)
	}
	for key, r := range h.registrations {
		mayEnd := active[key] || !h.registered[key.id]
		if r.wanted || !mayEnd && !r.ended {
			continue
		}
		r.cancel()
		delete(h.registrations, key)
	}
	return started
}

// maintainRegistration registers with one home, and again after each lost
// connection. It returns when r.ctx ends, or after a lost connection if the home
// is no longer wanted.
func (h *Homes) maintainRegistration(r *registration) {
	defer r.cancel()
	delay := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(firstBackoff),
		backoff.WithMaxInterval(maxBackoff),
		backoff.WithMaxElapsedTime(0),
	)
	for {
		started := time.Now()
		err := h.runRegistration(r.ctx, r.home)
		if r.ctx.Err() != nil || h.endIfUnwanted(r) {
			return
		}
		h.log.EventWithError(eventHomeLost, err, eventlog.Fields{"entry": r.home.ID, "addr": r.home.Addr})
		if time.Since(started) > maxBackoff {
			delay.Reset()
		}
		select {
		case <-time.After(delay.NextBackOff()):
		case <-r.ctx.Done():
			return
		}
	}
}

// endIfUnwanted marks r as ended unless its home is still wanted, and reports
// whether r is ended.
func (h *Homes) endIfUnwanted(r *registration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.ended = !r.wanted
	return r.ended
}
