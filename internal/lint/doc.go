// Package lint tests the source code of the module: imports between layers, doc
// comments, file lengths, names of the users' platform and guarded error wraps.
package lint
