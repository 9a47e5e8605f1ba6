package controlapi

import (
	"toucanway/core/affinity"
	"toucanway/core/fleet"
)

// Procedures of every member of the control group.
const (
	ProcedureRecordStreams = "/controller.v1/RecordStreams"
	ProcedureFindStream    = "/controller.v1/FindStream"
	ProcedureSoftware      = "/controller.v1/Software"
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

// FindStreamRequest asks a holder for the origin of a stream.
type FindStreamRequest struct {
	ID fleet.RequestID `cbor:"1,keyasint"`
}

// FindStreamResponse tells what a holder knows of a stream.
type FindStreamResponse struct {
	// Origin is the origin of the stream; nil if the member doesn't hold it.
	Origin *affinity.Origin `cbor:"1,keyasint,omitempty"`
}

// SoftwareRequest asks the leader for the software versions of a service. Another member may not have heard of the newest one.
type SoftwareRequest struct {
	Service fleet.ServiceID `cbor:"1,keyasint"`
}

// SoftwareResponse lists the software versions that entry hosts may have used lately.
type SoftwareResponse struct {
	Reply    Reply                   `cbor:"1,keyasint,omitzero"`
	Versions []fleet.SoftwareVersion `cbor:"2,keyasint,omitempty"`
}

func (r *SoftwareResponse) reply() Reply { return r.Reply }
