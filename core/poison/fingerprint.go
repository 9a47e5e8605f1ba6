package poison

import (
	"bytes"
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

// ignoredFields are the fields of a request body that may differ between repetitions of the same request.
var ignoredFields = [...]string{"stream", "stream_options", "user", "metadata", "request_id"}

// Fingerprint returns the hash of a request's tenant, target name and body. In a body that is a JSON object, the order of
// fields, white space and the ignored fields make no difference; any other body is hashed as it is.
func Fingerprint(tenant fleet.TenantID, target string, body []byte) fleet.Fingerprint {
	d := xxhash.New()
	write := func(part []byte) {
		// The length separates the parts, so that the same bytes split differently give different hashes.
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = d.Write(n[:])
		_, _ = d.Write(part)
	}
	write([]byte(tenant))
	write([]byte(target))
	write(normalise(body))
	return fleet.Fingerprint(d.Sum64())
}

// normalise returns a JSON object in a canonical form without the ignored fields, and any other body unchanged.
func normalise(body []byte) []byte {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	var fields map[string]any
	if err := dec.Decode(&fields); err != nil || dec.More() {
		return body
	}
	for _, name := range ignoredFields {
		delete(fields, name)
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}
