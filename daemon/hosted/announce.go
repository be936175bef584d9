package hosted

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/settings"
	"github.com/rattanway/rattanway/version/catalog"
)

// announceRetryPause is the pause between two attempts to write this instance's
// address to the store and to read the other addresses.
const announceRetryPause = 500 * time.Millisecond

// encodeEntryRow returns the row of the store in which an entry instance publishes
// its address and its data centre.
func encodeEntryRow(addr, dataCentre string) []byte { return []byte(addr + " " + dataCentre) }

// decodeEntryRow returns the address and the data centre in a row. Rows of earlier
// builds contain only the address; the data centre is then empty. It returns an error if
// the row is not from an entry instance.
func decodeEntryRow(value []byte) (addr, dataCentre string, err error) {
	addr, dataCentre, hasDataCentre := strings.Cut(string(value), " ")
	err = settings.CheckAddr("address", addr)
	if err == nil && hasDataCentre {
		err = settings.CheckName("data centre", dataCentre)
	}
	return addr, dataCentre, core.ClipError(err)
}

// announcer publishes the address of an entry instance.
type announcer struct {
	// announce writes the address and reads the others. It returns the store's era in
	// which the address was written.
	announce func(ctx context.Context) (era uint64, err error)
	// storeEra returns the store's newest known era, and changed a channel that is closed
	// when it may have changed.
	storeEra func() uint64
	changed  func() <-chan struct{}
	clock    clockwork.Clock
}

// run announces the address, and again whenever the store has come back from a copy,
// which may lack it. It tries failed calls again and returns when ctx ends.
func (a *announcer) run(ctx context.Context) error {
	announced, era := false, uint64(0)
	for ctx.Err() == nil {
		changed := a.changed()
		var retry <-chan time.Time
		if known := a.storeEra(); !announced || known > era {
			writtenIn, err := a.announce(ctx)
			// What is written after an era is known is not written before that era, even
			// if the store no longer names it.
			announced, era = err == nil, max(writtenIn, known)
			if err != nil {
				changed, retry = nil, a.clock.After(announceRetryPause)
			}
		}
		select {
		case <-ctx.Done():
		case <-retry:
		case <-changed:
		}
	}
	return nil
}

// announceAddress runs the announcer of this instance.
func (e *entry) announceAddress(ctx context.Context) error {
	a := announcer{announce: e.announceOnce, storeEra: e.storeEra, changed: e.catalogHolder.Changed, clock: e.clock}
	return a.run(ctx)
}

// announceOnce writes this instance's address and data centre to the store and reads
// those of the other entry instances.
func (e *entry) announceOnce(ctx context.Context) (era uint64, err error) {
	era, err = e.store.Put(ctx, catalog.TableEntries, e.settings.Name, encodeEntryRow(e.settings.Listen.Peers, e.settings.DataCentre))
	if err == nil {
		err = e.readEntries(ctx)
	}
	if err != nil {
		e.log.EventWithError(eventEntries, err, eventlog.Fields{})
	}
	return era, err
}

// storeEra returns the newest era of the store that this instance has read.
func (e *entry) storeEra() uint64 {
	return max(e.declaredFollower.LastChange().Era, e.serversFollower.LastChange().Era)
}

// readEntries reads the addresses of the entry instances from the store and adds
// them to the exchange as peers.
func (e *entry) readEntries(ctx context.Context) error {
	rows, _, err := e.store.List(ctx, catalog.TableEntries)
	if err != nil {
		return err
	}
	for _, r := range rows {
		addr, dataCentre, err := decodeEntryRow(r.Value)
		if err != nil {
			e.log.EventWithError(eventEntries, core.WrapStep("read entry row "+strconv.Quote(r.Key), "", err), eventlog.Fields{})
			continue
		}
		e.exchange.AddPeer(addr, dataCentre)
	}
	e.log.Event(eventEntries, eventlog.Fields{"entries": len(rows)})
	return nil
}
