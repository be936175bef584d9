package core

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/go-faster/errors"
)

// digestPrefix is the hash algorithm at the start of a digest.
const digestPrefix = "sha256:"

// Digest is a content digest in the form "sha256:" followed by 64 lower-case
// hexadecimal digits. The empty string means "no digest".
type Digest string

// DigestOf returns the digest of body.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(digestPrefix + hex.EncodeToString(sum[:]))
}

// ParseDigest returns s as a Digest, or an error if s is not well formed.
func ParseDigest(s string) (Digest, error) {
	raw, ok := strings.CutPrefix(s, digestPrefix)
	if !ok {
		return "", errors.Errorf("digest %q: want prefix %q", s, digestPrefix)
	}
	if len(raw) != hex.EncodedLen(sha256.Size) || strings.ToLower(raw) != raw {
		return "", errors.Errorf("digest %q: want 64 lower-case hexadecimal digits", s)
	}
	if _, err := hex.DecodeString(raw); err != nil {
		return "", errors.Wrapf(err, "digest %q", s)
	}
	return Digest(s), nil
}

// Short returns the first 12 hexadecimal digits, for log lines and messages.
func (d Digest) Short() string {
	raw := strings.TrimPrefix(string(d), digestPrefix)
	if len(raw) > 12 {
		return raw[:12]
	}
	return raw
}

// Matches reports whether d is the digest of body.
func (d Digest) Matches(body []byte) bool {
	return DigestOf(body) == d
}
