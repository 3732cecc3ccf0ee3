// Package crowd tests programs as processes against crowds of clients that do not keep to the limits: heads over the limit
// or without end, heads that are held, empty lines without end, connections that stay. It has only tests, which run one
// at a time.
package crowd
