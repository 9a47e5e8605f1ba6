package controlapi

import "toucanway/core/quota"

// ProcedureQuota lends credit under the quotas of client accounts to an entry host.
const ProcedureQuota = "/controller.v1/Quota"

// QuotaRequest tells the leader of the credit that an entry host holds, and asks for more.
type QuotaRequest struct {
	Call quota.Call `cbor:"1,keyasint"`
}

// QuotaResponse lends credit.
type QuotaResponse struct {
	Reply  Reply        `cbor:"1,keyasint,omitempty"`
	Answer quota.Answer `cbor:"2,keyasint,omitempty"`
}

func (r *QuotaResponse) reply() Reply { return r.Reply }
