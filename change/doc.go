// Package change accepts or refuses changes of the configuration. Changes are
// records of the log. State.Apply is a pure function of the records in log
// order, so that all readers reach the same verdicts and byte-identical states.
package change
