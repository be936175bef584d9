package core

import (
	"crypto/sha256"
	"crypto/subtle"
)

// SameSecret reports whether two secrets are equal. Its run time reveals
// neither how many leading bytes are equal nor the lengths of the secrets.
func SameSecret(given, want string) bool {
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(want))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
