package confsync

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/connection/frame"
	"github.com/rattanway/rattanway/version/confstore"
)

// HolderSource implements Source with the Holder of a process.
type HolderSource struct {
	// Holder holds the configuration in force.
	Holder *confstore.Holder
}

var _ Source = HolderSource{}

// Number implements Source.
func (s HolderSource) Number() uint64 { return s.Holder.Current().Number }

// Changed implements Source.
func (s HolderSource) Changed() <-chan struct{} { return s.Holder.Changed() }

// Encode implements Source. For a peer that already holds the newest version it
// returns a Config with that version's number and no body.
func (s HolderSource) Encode(peerVersion uint64) (frame.Config, error) {
	e, err := confstore.EncodeForPeer(s.Holder, peerVersion)
	if errors.Is(err, confstore.ErrPeerUpToDate) {
		return frame.Config{Number: peerVersion}, nil
	}
	return frame.Config{Number: e.Number, Digest: e.Digest, Base: e.BaseNumber, Body: e.Body}, err
}

// Offer implements Source.
func (s HolderSource) Offer(c frame.Config) error {
	return confstore.OfferEncoded(s.Holder, confstore.EncodedVersion{
		Number: c.Number, Digest: c.Digest, BaseNumber: c.Base, Body: c.Body,
	})
}

// RecordPeerVersion implements Source.
func (s HolderSource) RecordPeerVersion(number uint64, pullSentAt time.Time) {
	s.Holder.RecordPeerVersion(number, pullSentAt)
}
