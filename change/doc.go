// Package change decides changes of configuration. Changes are records of the
// log; State.Apply is a pure function of the records in log order, so that all
// readers reach the same verdict and the same bytes.
package change
