// Package demo runs the two example deployments on loopback and sends them calls
// as real callers would, with the OpenAI client and retries, while processes are
// killed. It reports the results that the callers got.
package demo
