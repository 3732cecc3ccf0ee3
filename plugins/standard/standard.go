// Package standard registers the standard plug-ins. It is imported for this side
// effect only. To build a binary with other plug-ins, write a package like this one
// that imports the plug-ins to include.
package standard

import (
	_ "github.com/wardspool/wardspool/plugins/admission/feasible" // admission.feasible
	_ "github.com/wardspool/wardspool/plugins/admission/known"    // admission.known
	_ "github.com/wardspool/wardspool/plugins/admission/limits"   // admission.limits
	_ "github.com/wardspool/wardspool/plugins/admission/queue"    // admission.queue
	_ "github.com/wardspool/wardspool/plugins/engine/openai"      // engine.openai
	_ "github.com/wardspool/wardspool/plugins/filter/ejected"     // filter.ejected
	_ "github.com/wardspool/wardspool/plugins/filter/leaving"     // filter.leaving
	_ "github.com/wardspool/wardspool/plugins/filter/model"       // filter.model
	_ "github.com/wardspool/wardspool/plugins/filter/role"        // filter.role
	_ "github.com/wardspool/wardspool/plugins/filter/stale"       // filter.stale
	_ "github.com/wardspool/wardspool/plugins/order/deadline"     // order.deadline
	_ "github.com/wardspool/wardspool/plugins/order/fair"         // order.fair
	_ "github.com/wardspool/wardspool/plugins/order/fifo"         // order.fifo
	_ "github.com/wardspool/wardspool/plugins/order/tsf"          // order.tsf
	_ "github.com/wardspool/wardspool/plugins/scorer/firstoutput" // scorer.first_output
	_ "github.com/wardspool/wardspool/plugins/scorer/pace"        // scorer.pace
	_ "github.com/wardspool/wardspool/plugins/scorer/prefix"      // scorer.prefix
	_ "github.com/wardspool/wardspool/plugins/scorer/roundrobin"  // scorer.round_robin
	_ "github.com/wardspool/wardspool/plugins/scorer/zone"        // scorer.zone
	_ "github.com/wardspool/wardspool/plugins/service/http"       // service.http
	_ "github.com/wardspool/wardspool/plugins/slots/dispatch"     // slots.dispatch
	_ "github.com/wardspool/wardspool/plugins/slots/lease"        // slots.lease
	_ "github.com/wardspool/wardspool/plugins/slots/none"         // slots.none
	_ "github.com/wardspool/wardspool/plugins/slots/probe"        // slots.probe
	_ "github.com/wardspool/wardspool/plugins/slots/shares"       // slots.shares
)
