// Package rowpatch encodes the value of a store's row for a receiver that may have
// an earlier value of the same row. Encode makes a patch from the receiver's value,
// the base, and the new value; Apply makes the new value from the base and the
// patch. Without a base, the patch is the compressed value. All sizes are in bytes.
//
// Patches are small if long runs of the value occur in the base, wherever they are:
// at other positions, in another order, or with insertions, changes and removals
// between them. Neither function keeps memory between calls.
//
// A patch carries digests of the base and of the value. They detect a receiver that
// has another base, and damage; they are no protection from a sender that intends
// to forge a value.
//
// A patch consists of
//
//   - a byte, which is formatRaw or formatZstd,
//   - the digest of the base and the digest of the value, 64 bits each,
//   - the length of the value, the length of all literals, and the length of the
//     encoded copies, as varints,
//   - the copies. Each is the length of the literals before it, the length of the
//     copied run, and its position in the base relative to the end of the previous
//     run, as varints,
//   - the literals, which are the parts of the value that are not copied.
//
// Literals that no copy follows are at the end of the value.
package rowpatch
