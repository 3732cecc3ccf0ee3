// Package bundle parses, validates, builds, signs and verifies configuration
// bundles. A bundle is one version of the declared configuration. It consists of
// the content, stored as content-addressed parts; a manifest, which refers to the
// parts, to the previous version and to the approvers; and signatures of the
// approvers. A roll is a signed document that says on which instances a version
// comes into force.
//
// The package does no I/O and reads no clock. Package ledger uses it to decide
// which version is in force on an instance, and wardspoolctl to create the
// documents. The design is described in docs/design/bundles.md.
package bundle
