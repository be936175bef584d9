package confstore

import (
	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/declare"
)

// Errors of the exchange of configurations between peers.
var (
	// ErrPeerUpToDate is returned when the peer already has the sender's current
	// version or a newer one.
	ErrPeerUpToDate = errors.New("peer already has the current version")
	// ErrBaseMismatch is returned when the base of a delta is not the receiver's
	// current version. The receiver must then request the full configuration.
	ErrBaseMismatch = errors.New("base of the delta is not the current version")
)

// EncodedVersion is an encoded configuration to be sent to a peer: either the
// full configuration, or a delta, which encodes only the differences from the
// version whose number is BaseNumber.
type EncodedVersion struct {
	// Number is the version number of the configuration.
	Number uint64
	// Digest is the digest of the full encoded configuration, even if Body is a
	// delta.
	Digest core.Digest
	// BaseNumber is the number of the version to which the delta in Body applies; 0
	// when Body is the full configuration.
	BaseNumber uint64
	// Body is the encoded configuration or delta.
	Body []byte
}

// EncodeForPeer returns the encoding of the current version for a peer whose
// version is peerVersion. The encoding is a delta when h still keeps peerVersion,
// and otherwise the full configuration. EncodeForPeer returns ErrPeerUpToDate
// when peerVersion is not older than the current version. Encodings are cached
// until the next version, so that the same encoding is not computed again for
// each peer.
func EncodeForPeer(h *Holder, peerVersion uint64) (EncodedVersion, error) {
	current, base := h.currentAndBase(peerVersion)
	if current.Number <= peerVersion {
		return EncodedVersion{}, ErrPeerUpToDate
	}
	baseNumber := uint64(0)
	if base != nil {
		baseNumber = base.Number
	}
	if e, ok := h.cachedEncoding(current.Number, baseNumber); ok {
		return e, nil
	}
	e, err := encode(current, base)
	if err != nil {
		return EncodedVersion{}, err
	}
	h.cacheEncoding(e)
	return e, nil
}

// encode encodes current: as a delta from base, or in full when base is nil.
func encode(current, base *declare.Snapshot) (EncodedVersion, error) {
	e := EncodedVersion{Number: current.Number, Digest: current.Digest}
	if base != nil {
		body, err := declare.EncodeDelta(base.Set, current.Set)
		e.BaseNumber, e.Body = base.Number, body
		return e, err
	}
	body, digest, err := declare.Encode(current.Set)
	if err == nil && digest != current.Digest {
		err = errors.Wrapf(declare.ErrDigestMismatch, "version %d", current.Number)
	}
	e.Body = body
	return e, err
}

// currentAndBase returns the current snapshot and the older snapshot with number
// baseNumber; base is nil when h does not keep that version.
func (h *Holder) currentAndBase(baseNumber uint64) (current, base *declare.Snapshot) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, s := range h.recentSnapshots {
		if s.Number == baseNumber && baseNumber > 0 {
			base = s
		}
	}
	return h.current, base
}

// cachedEncoding returns the cached encoding of version number as a delta from
// version base, or in full when base is 0, and whether this encoding is cached.
func (h *Holder) cachedEncoding(number, base uint64) (EncodedVersion, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	e, ok := h.encodings[base]
	return e, ok && e.Number == number
}

// cacheEncoding caches e if e.Number is still the number of the current version.
func (h *Holder) cacheEncoding(e EncodedVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.Number == h.current.Number {
		h.encodings[e.BaseNumber] = e
	}
}

// OfferEncoded decodes and checks a configuration from a peer, and makes it the
// current version of h. It does nothing if the configuration is not newer. If it
// returns ErrBaseMismatch, the caller must request the full configuration.
func OfferEncoded(h *Holder, e EncodedVersion) error {
	current := h.Current()
	if e.Number <= current.Number {
		return nil
	}
	set, err := decodeAgainst(current, e)
	if err != nil {
		return errors.Wrapf(err, "version %d", e.Number)
	}
	h.Offer(&declare.Snapshot{Number: e.Number, Digest: e.Digest, Set: set})
	return nil
}

// decodeAgainst decodes e. If e is a delta whose base is not current, it returns
// ErrBaseMismatch.
func decodeAgainst(current *declare.Snapshot, e EncodedVersion) (*declare.Set, error) {
	if e.BaseNumber == 0 {
		return declare.Decode(e.Body, e.Digest)
	}
	if e.BaseNumber != current.Number {
		return nil, errors.Wrapf(ErrBaseMismatch, "base %d, current %d", e.BaseNumber, current.Number)
	}
	return declare.ApplyDelta(current.Set, e.Body, e.Digest)
}
