package relay

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/quarantine"
)

// fingerprint is a hash that is the same in all processes.
type fingerprint uint64

// String returns the fingerprint as it appears in logs.
func (f fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// fingerprints identify what a request has in common with others.
type fingerprints struct {
	// request is the same for requests of one client account with the same method, host, path
	// and body. Their ids, programs and previous turns may differ.
	request fingerprint
	// resource leaves out the body.
	resource fingerprint
}

func (e *exchange) computeFingerprints() fingerprints {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{e.callerIdentity(), e.req.Method, e.req.Host, e.req.RequestURI} {
		// Writes to a hash digest never fail.
		_, _ = d.WriteString(text)
		_, _ = d.WriteString("\x00")
	}
	resource := fingerprint(d.Sum64())
	// Sets the fingerprints of requests without a body apart.
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(e.body)
	return fingerprints{request: fingerprint(d.Sum64()), resource: resource}
}

// subjects returns the request and its resource as subjects of a quarantine.
func (f fingerprints) subjects() [2]quarantine.Subject {
	return [2]quarantine.Subject{{ID: uint64(f.request)}, {ID: uint64(f.resource), IsResource: true}}
}
