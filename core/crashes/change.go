package crashes

// Change is a decision of a Detector: Suspected, Listed, Tried, Cleared or Expired.
type Change interface{ isChange() }

// Suspected means that requests with the content were in flight at several crashes and none was answered since.
type Suspected struct {
	Content Content
	Crashes int
}

// Listed means that requests with all of the contents are refused, or are refused for longer after a trial that crashed a server or an
// answer that confirms the listing.
type Listed struct {
	Contents []Content
	// Crashes is 0 if the listing was taken over from an earlier leader.
	Crashes int
}

// Tried means that one request with the contents of a listing is let through.
type Tried struct{ Contents []Content }

// Cleared means that an answer, or the age of the evidence, has ended a suspicion or a listing.
type Cleared struct{ Content Content }

// Expired means that a listing has ended without evidence of innocence, since no request came for a trial or the list was full.
type Expired struct{ Contents []Content }

func (Suspected) isChange() {}
func (Listed) isChange()    {}
func (Tried) isChange()     {}
func (Cleared) isChange()   {}
func (Expired) isChange()   {}
