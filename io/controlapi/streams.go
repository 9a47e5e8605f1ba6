package controlapi

import (
	"toucanway/core/affinity"
	"toucanway/core/fleet"
)

// Procedures of every member of the control group.
const (
	ProcedureRecordStreams = "/controller.v1/RecordStreams"
	ProcedureFindStream    = "/controller.v1/FindStream"
)

// Stream is a resumable stream with its origin.
type Stream struct {
	ID     fleet.RequestID `cbor:"1,keyasint"`
	Origin affinity.Origin `cbor:"2,keyasint"`
}

// RecordStreamsRequest records the streams that an entry host has begun.
type RecordStreamsRequest struct {
	Streams []Stream `cbor:"1,keyasint"`
}

// RecordStreamsResponse confirms a RecordStreamsRequest.
type RecordStreamsResponse struct{}

// FindStreamRequest asks for the origin of a stream, which should go on at a service.
type FindStreamRequest struct {
	ID      fleet.RequestID `cbor:"1,keyasint"`
	Service fleet.ServiceID `cbor:"2,keyasint"`
}

// FindStreamResponse tells what a member knows of a stream.
type FindStreamResponse struct {
	// Origin is the origin of the stream; nil if the member doesn't hold it.
	Origin *affinity.Origin `cbor:"1,keyasint,omitempty"`
	// Software lists the software versions of the service that entry hosts may have used lately; it is empty if the member may not know
	// the newest ones.
	Software []fleet.SoftwareVersion `cbor:"2,keyasint,omitempty"`
}
