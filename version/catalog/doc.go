// Package catalog holds what operators have declared and what servers report,
// in the product's own terms: routes, services, client accounts, backend
// servers, weights and data centres that are taken out. A Snapshot is
// immutable; a Holder replaces it as changes arrive.
package catalog
