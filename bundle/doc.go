// Package bundle reads, checks, builds, signs and verifies configuration
// bundles. A bundle is one version of what operators declare: its content, as
// content-addressed parts; a manifest that names the parts, the version before
// and the approvers; and the approvers' signatures. A roll document says on
// which instances a version comes into force.
//
// The package does no I/O and reads no clock. Package ledger decides by it
// which version is in force on one instance; wardspoolctl makes the documents.
// docs/design/bundles.md gives the reasons.
package bundle
