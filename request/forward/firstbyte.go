package forward

import "time"

// recordFirstByte records the time from sending the request until its first byte at time at,
// from which the scheduler tells how long other requests may wait. The first byte of a hedge
// came before the watch began.
func (w *stallWatch) recordFirstByte(at time.Time) {
	if w.exchange != nil {
		w.call.cfg.Scheduler.RecordFirstByte(w.call.dispatchReq.Service, at.Sub(w.exchange.sentAt))
	}
}
