// Package demo runs the two example deployments on loopback and drives them as
// real callers do, with the official client, retries and failures, and reports
// what the callers saw.
package demo
