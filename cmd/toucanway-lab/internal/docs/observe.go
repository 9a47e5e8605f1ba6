package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"toucanway/io/settings"
)

// logExplanation explains a log message to operators: what it means and what to do.
type logExplanation struct {
	subsystem       settings.Subsystem
	meaning, remedy string
}

// noAction is the remedy of messages that need no action.
const noAction = "Nothing."

// metricRemedies returns what to do about each metric. The meaning of a metric is the help of its declaration.
func metricRemedies() map[string]string {
	return map[string]string{
		"grants":                  "Compare the hosts of a region: each owns about the same number of backend servers.",
		"grant-refusals":          "Look up the code in [refusals](refusals.md); persistent `queue-full` or `no-capacity` means that more backend servers or replicas are needed.",
		"grant-wait":              "High for one class only: check its share and the long work in `toucanway runners`. High for all: add capacity.",
		"grants-waiting":          "Near `limits.waiting-per-backend-server`: see the runbook of refusals at the peak.",
		"loads":                   "With `failed`: check `toucanway models NAME`. Many from `remote`: raise keep-warm times or `min-replicas`.",
		"load-time":               "Far above the usual time for `remote`: see the runbook of a slow weight store.",
		"adapter-orders":          "Persistent `failed` or `in-doubt`: check the logs of the backend servers and the weight store.",
		"inventories-unanswered":  "See the runbook of a slow or mute backend server.",
		"backend-servers-owned":   noAction,
		"session-lease":           "0 for more than a few seconds: the host does not reach the leader; see the runbooks of a lost voter and a cut region.",
		"changes-told":            "At the leader about as many as the other controllers; far more: entry hosts follow the leader since no other controller answers them.",
		"config-version":          "Hosts that differ for more than 4 s: the one behind has no lease or cannot decode the document; see its log.",
		"applied-index":           "A host whose value stays the same while others rise has no contact with the leader.",
		"sessions-open":           "Fewer than there are hosts: see the runbook of a lost host.",
		"sessions-opened":         "More than 1: the host had no lease for more than 3 s; check its connection to the voters.",
		"polls-failed":            "A few are normal at an election. A steady rise: check the connection to the voters.",
		"raft-term":               "Each rise is an election. If elections are frequent, check the network and disks of the voters.",
		"raft-commit":             "One voter behind the others for long: its disk or network is slow.",
		"raft-applied":            "Behind `raft-commit` for long: the host has too little CPU.",
		"raft-leads":              "The sum over the voters is 1 for each group; 0 for more than 2 s means that no majority is reachable.",
		"raft-out-of-service":     "1: see the runbook of a lost voter.",
		"raft-send-errors":        "A steady rise on one voter: it does not reach another one; compare the voters.",
		"ledger-verdicts":         "`full`: raise `limits.ledger-records`. `no-answer`: check the voters. `mismatch`: a caller uses one key for two different requests.",
		"cross-region-bytes":      "Compare with `regions.cross-region-bytes-per-hour`; add replicas in the region that the requests come from.",
		"requests":                "Compare with `refusals`: the share of refused requests shows missing capacity.",
		"time-to-first-token":     "Above the target: check the code and class of refusals, loads in progress in `toucanway models` and busy servers in `toucanway runners`.",
		"token-gap":               "Above the target on all hosts: add backend servers. From single servers: see the runbook of a slow backend server.",
		"refusals":                "Look up the code in [refusals](refusals.md).",
		"retries":                 "A rise shows failing backend servers; check `backend-crashes` and `toucanway runners`.",
		"hedges":                  "A rise shows slow backend servers; see the runbook of a slow backend server.",
		"backend-crashes":         "Check the logs of the backend server. If one request causes several crashes, see the runbook of a poison request.",
		"releases-lost":           "A few are normal when an owner changes. A steady rise: check the connections between hosts.",
		"ledger-commits-lost":     "The records become `unknown` later. Check that a majority of the voters is reachable.",
		"operators-requests":      "Many `unauthorized`: a tool uses an old token.",
		"heartbeats":              "`outdated` above a few percent: backend servers are restarted under the same id, or their connections are slow.",
		"engine-orders":           "Persistent outcomes other than `accepted` and `holding`: look up the order in the leader's log by instance.",
		"engine-reports":          "A steady rise: engines answer orders late or not at all; check for the outcome `unanswered`.",
		"log-lines-dropped":       "Above 0: log lines were produced faster than they could be written; other metrics remain correct.",
		"crash-reports":           "Compare with `backend server changed`: more crashes than new incarnations are servers that do not come back.",
		"crashing-contents":       "`listed`: look up the requests, see [operations](OPERATIONS.md), and tell their sender.",
		"overload-decisions":      "`refused` and `waited` by route, action and reason. Waits now and then are normal. Refusals: the servers of the route have too little room; look up the reason in [operations](OPERATIONS.md), and add servers or lower the quotas of accounts.",
		"routed-requests":         "`refused` and `broken` by route: look up the cause in the gateway's log, see [operations](OPERATIONS.md).",
		"messages-over-memory":    "`answer`: look for servers that send without end in `request ended` with the cause `answer-over-memory`. `request`: callers send many large bodies at once; raise `memory` or add hosts.",
		"backend-notices":         "`leaving` without planned work on the servers: look up `backend server says that it leaves` and the server's own log. `pause` from all servers of a service, or `rate-limit` from many: they are overloaded; add servers.",
		"routed-request-duration": "Above the route's objective: compare the steps in the log of slow requests.",
		"tls-reloads":             "With the result `failed`: write matching PEM files. The earlier certificates stay in use until they expire.",

		"account-refusals":         "`unknown-key` without an account: a caller uses a removed or mistyped key. `accounts-stale`: the host has no contact with the controllers. Others by account: look up the code in [refusals](refusals.md).",
		"quota-calls":              "`failed` or `late` above a few: check the contact with the controllers and the load of the leader. Many `answered`: see the sizes in the design of quotas.",
		"quota-units":              "`refused` by account: compare with its quota. `refunded` near `admitted`: requests are admitted and then find no server.",
		"quota-credit":             "`lent` less `returned` is what the account uses over all hosts.",
		"quota-statements":         "`denied` and `refused-requests` by account: it uses up its quota.",
		"account-request-duration": "High for one account only: compare its prompts and refusals with the others'.",
	}
}

// logExplanations returns the explanation of each log message.
func logExplanations() map[string]logExplanation {
	return map[string]logExplanation{
		"process started":                      {settings.LogDefault, "A gateway or controller has read its settings.", noAction},
		"process stopped":                      {settings.LogDefault, "The process ends; `error` gives the reason if the stop was not requested.", "With an error: follow its remedy."},
		"client account has used up its quota": {settings.LogControl, "Within the last 10 s the leader had no room for all requests of the account. The line has what was lent, returned and refused.", "Compare with the quota of the account; raise it, or tell its owner."},
		"the leader does not answer for the quotas of client accounts; this host uses the credit that it has": {settings.LogDefault, "A call for credit failed. Requests of accounts with a quota wait, and are refused with `quota-unknown` if that lasts.", "Check the contact with the controllers."},
		"the leader answers for the quotas of client accounts":                                                {settings.LogDefault, "The host has got an answer to a call for credit, for the first time or again.", noAction},
		"settings read again": {settings.LogDefault, "The settings file has changed. New seeds are in effect; other settings need a restart.", noAction},
		"settings cannot be read; the earlier ones stay in use":                               {settings.LogDefault, "The settings file is missing or not valid.", "Correct the file; it is checked every second."},
		"control group opened on this host":                                                   {settings.LogControl, "A controller has read its data folder and takes part.", noAction},
		"control group cannot work on this host's storage; it is opened again shortly":        {settings.LogControl, "A write failed, or the folder cannot be read.", "Free space or replace the disk; the controller then continues without a restart."},
		"host admitted to the control group":                                                  {settings.LogControl, "This controller has joined the control group.", noAction},
		"host admitted to the control group by this leader":                                   {settings.LogControl, "The leader has added a controller as a voter.", noAction},
		"host not admitted to the control group yet":                                          {settings.LogControl, "A host that was asked did not admit this controller.", noAction},
		"silent host removed from the control group":                                          {settings.LogControl, "A controller sent nothing for a long time and enough others remain; it may join again.", "Replace the host if it is gone for good."},
		"this host leads and orders the engines":                                              {settings.LogControl, "The controller is leader; `orders-in-ms` is the time until its first order; it waits if another host gave orders before.", noAction},
		"this host no longer leads":                                                           {settings.LogControl, "Another controller takes over, or no majority is reachable.", "Without a new leader within 2 s: look for lost controllers."},
		"backend server changed":                                                              {settings.LogControl, "A heartbeat reported a new incarnation, address or state, or a server has left.", noAction},
		"backend server is silent":                                                            {settings.LogControl, "No heartbeat came for 5 s; the server is used only when there is no other.", "See the runbook of a slow or mute backend server."},
		"calls answered as leader":                                                            {settings.LogControl, "How many calls of each kind the leader has answered since the line before. `changes` are answers that told a follower of changes.", "Compare with the processor time of the leader: `changes` far above the number of entry hosts a second means that changes come too often."},
		"callers are told of another number of entry hosts":                                   {settings.LogControl, "The load has changed how many entry hosts of a data centre callers are told to use.", noAction},
		"entry host changed":                                                                  {settings.LogControl, "A gateway became ready, stopped being ready, or sent no report for some time.", noAction},
		"engine ordered":                                                                      {settings.LogPlacement, "An order to load or unload, with its reason, the expected count of orders and the outcome.", "Persistent `rejected` or `unanswered`: check the engine's log."},
		"engine reported":                                                                     {settings.LogPlacement, "An engine whose state is in doubt was asked for its loaded models.", noAction},
		"configuration committed":                                                             {settings.LogControl, "A configuration is in the log of a majority and in force.", noAction},
		"configuration refused":                                                               {settings.LogControl, "A configuration is not valid; `error` gives the reason.", "Correct the configuration and send it again."},
		"configuration acknowledged; a version as high is in force":                           {settings.LogControl, "A configuration was sent again, or a newer one was committed before it; nothing changed.", noAction},
		"configuration in force cannot be read":                                               {settings.LogControl, "The stored configuration is of another format.", "Upgrade the controller."},
		"who orders engines cannot be noted for the next start":                               {settings.LogControl, "A file cannot be written to the data folder; after a restart of all controllers the leader waits longer before its first order.", "Free space."},
		"configuration in force on this host":                                                 {settings.LogControl, "The gateway uses this version.", noAction},
		"configuration cannot be read; the earlier one stays in force":                        {settings.LogControl, "The configuration is of another format.", "Upgrade the gateway."},
		"loads of other hosts cannot be read":                                                 {settings.LogControl, "The leader sends the sums of loads in another format; the earlier sums stay in use.", "Upgrade the gateway."},
		"backend server known":                                                                {settings.LogControl, "The gateway has learned of a new incarnation or state of a backend server.", noAction},
		"backend server is forgotten: it is silent and refuses connections":                   {settings.LogControl, "The server has sent no heartbeat for a minute, and no process listens at its address; a heartbeat makes it known again.", noAction},
		"backend server says that it leaves":                                                  {settings.LogControl, "An answer has said that the server is about to stop; this host sends no more requests to this incarnation.", noAction},
		"backend server counts as draining, since it has said that it leaves":                 {settings.LogControl, "The leader has heard from the host `told` that an answer of the server said so; all entry hosts are told, and an engine gets no more orders.", noAction},
		"backend server that drains or has left on record":                                    {settings.LogControl, "The log holds that this incarnation drains or has left, so that every later leader knows it; with an error the server got no acknowledgement and asks again.", "With an error: see that a majority of the controllers runs and can write."},
		"backend servers that left some time ago are no longer on record":                     {settings.LogControl, "Departures older than a minute were removed from the log's state.", noAction},
		"software version of a service on record":                                             {settings.LogControl, "A server of a version that was not on record has sent a heartbeat; entry hosts hear of the server after this. Streams of the service go on only at the version that began them.", noAction},
		"software version of a service that no server has any more":                           {settings.LogControl, "No server of the version has been known for two minutes; it is taken off the record.", noAction},
		"stream is taken up again":                                                            {settings.LogCallers, "A caller sends the rest of a stream to this host: the try that began it (`resumes`), and the service and software version at which it has begun, if that is `known`.", "Not `known` for many: the members of the control group were lost within two minutes, or the caller names no try."},
		"origins of streams cannot be recorded; they cannot be taken up again at other hosts": {settings.LogControl, "No member of the control group has taken the origins of some streams; they are sent again.", "Check the contact with the control group."},
		"rate limit of a backend server in force on all hosts":                                {settings.LogControl, "The leader has heard from the host `told`, `age-ms` ago, of another rate limit; entry hosts ask it for each request to this incarnation, until it names none.", noAction},
		"backend server has changed its rate limit":                                           {settings.LogControl, "An answer of the server names another limit `per-second` for the requests of all hosts than the one known `before`, or none any more.", "From one server: compare its load with the others'. From many of a service: add servers."},
		"backend server wants no requests from this host for some time":                       {settings.LogControl, "A rejection asked for a pause of `asked-ms`; this host sends the server nothing for `until-ms`. Written when a pause begins and when it has grown by a second.", "From one server: compare its load with the others'. From all of a service: add servers."},
		"contact with the control group":                                                      {settings.LogControl, "The gateway follows a leader again.", noAction},
		"attempt at a backend server failed":                                                  {settings.LogEngines, "An engine or a service has not brought a complete answer to a request, which may go to another one.", "Look up `error`; its bytes may be those of the server. Its caller is told a code only."},
		"no contact with the control group; this host goes on with what it knows":             {settings.LogControl, "No leader answered for some seconds.", "Check that a majority of the controllers runs and is reachable."},
		"backend server crashed with a request in flight":                                     {settings.LogCallers, "The connection of `request` to `instance` ended and new connections are refused. `contents` are the hashes by which the leader names the `parts` of the prompt and the whole request.", "See [operations](OPERATIONS.md)."},
		"content of requests suspected of crashing backend servers":                           {settings.LogControl, "Requests with the content were in flight at several crashes and the leader knows of no answer since.", noAction},
		"content of requests crashes backend servers and is refused":                          {settings.LogControl, "Three crashes or more with requests of these contents, and no answer since. Requests with all of them are refused as `poison-request`; an answer takes a content out. One is tried after 5 s without a crash while no answer tells the contents apart from others in flight, after a minute otherwise, and after twice the time each time that a server crashes again. `crashes` is 0 if an earlier leader has decided it.", "See [operations](OPERATIONS.md)."},
		"content of requests no longer suspected or refused":                                  {settings.LogControl, "A request with the content was answered after the crashes, or they are older than ten minutes.", noAction},
		"one request of refused content is let through":                                       {settings.LogControl, "The leader has granted an entry host a trial of a refused content.", noAction},
		"content of requests no longer refused; no request came for a trial":                  {settings.LogControl, "No request with it came for ten minutes after it was due for a trial.", noAction},
		"request ended":                             {settings.LogCallers, "One line for each request: route, status, cause, waits, and each server that it was sent to with the reasons for the choice.", "See [operations](OPERATIONS.md)."},
		"host stops: it takes no more callers":      {settings.LogDefault, "The gateway drains.", noAction},
		"host stops: requests under way have ended": {settings.LogDefault, "The drain is over.", noAction},
		"host started":                              {settings.LogDefault, "The host listens on its addresses.", noAction},
		"host stopped":                              {settings.LogDefault, "The process ends; `error` gives the reason if the stop was not requested.", "With an error: follow its remedy."},
		"drain started":                             {settings.LogDefault, "The host shuts down and waits for its requests.", noAction},
		"drain bound reached":                       {settings.LogDefault, "Requests were still running at the end of the drain bound and were aborted.", "Raise `limits.drain-bound` and the host's `drain-bound` if requests may run that long."},
		"TLS files read again":                      {settings.LogDefault, "New connections use the new files.", noAction},
		"TLS files cannot be loaded; the earlier ones stay in use": {settings.LogDefault, "A changed file is missing, broken or does not match the others.", "Write matching PEM files; they are loaded again when they change."},
		"configuration in force":                                   {settings.LogControl, "The host uses this document.", noAction},
		"configuration cannot be decoded; upgrade this host":       {settings.LogControl, "The accepted document is newer than this host's program; the host takes no new work.", "Upgrade the host."},
		"session opened":         {settings.LogControl, "The host joined the deployment under a new incarnation.", "Repeated without a restart: the host had no connection to the voters for more than 3 s."},
		"session closed":         {settings.LogControl, "The leader closed the expired session of a host; its backend servers get other owners.", "See the runbook of a lost host."},
		"backend server removed": {settings.LogControl, "A backend server did not renew its announcement for 5 s. `dead` says whether its process is known to have ended.", "See the runbook of a slow or mute backend server."},
		"ownership taken":        {settings.LogCapacity, "The host now grants the capacity of this backend server.", noAction},
		"decision rejected":      {settings.LogPlacement, "The control group refused a planned load or unload, which is planned again.", noAction},
		"document accepted":      {settings.LogOperators, "A submission is in force on all hosts except `expired-hosts`.", noAction},
		"drain requested":        {settings.LogOperators, "An operator drains a host or a backend server.", noAction},
		"raft role changed":      {settings.LogRaft, "The voter became a follower, a candidate or the leader of a group.", "Frequent changes: check the network and disks of the voters."},
		"raft leader changed":    {settings.LogRaft, "The group follows another leader, or none.", "Empty `leader` for long: a majority of voters is lost; see the runbooks."},
		"host state changed":     {settings.LogMembership, "The probes between hosts found another state of `peer`, such as suspected or dead.", "See the runbook of a lost host if the state persists."},
		"raft message rejected":  {settings.LogRaft, "A message from another voter could not be used and was dropped.", "Check that all voters run the same version and have the same `voters`."},
		"path to host changed":   {settings.LogMembership, "The probes reach `peer` directly, through other hosts only, or not at all.", "Check the network between the two hosts."},
		"voter replaced":         {settings.LogRaft, "A voter whose disk was lost has its vote in this group again.", noAction},
		"raft snapshot taken":    {settings.LogRaft, "The log was compacted to a snapshot.", noAction},
		"raft group knows this host under another data folder; it asks the leader to be replaced": {settings.LogRaft, "The voter lost its disk or has another data folder. It has no vote until it is replaced, which it requests itself.", "See the runbook of a lost voter."},
		"raft storage or state machine failed; this host no longer votes":                         {settings.LogRaft, "Writing the log failed; the voter neither votes nor acknowledges.", "See the runbook of a full disk, then restart the host."},
	}
}

// observePage returns the page of the metrics and log messages that the packages under a folder declare. It fails if one of them
// is not explained, or if an explanation has no metric or message in the source.
func observePage(folder string) (string, error) {
	s, err := readSource(folder)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("# Metrics and log lines\n\n" + generatedNote + `
Every host serves its own metrics at its operators' address: ` + "`GET /v1/metrics`" + ` as JSON with the short names, ` + "`GET /metrics`" + ` as
text with the long names. They count from the start of the process. Each metric has at most 512 sets of label values; further
ones are counted together under ` + "`other`" + `.

## Metrics

| name | name in text | kind | labels | meaning | what to do |
|---|---|---|---|---|---|
`)
	remedies := metricRemedies()
	for _, m := range s.metrics.Declared() {
		remedy, ok := remedies[m.Name]
		if !ok {
			return "", fmt.Errorf("metric %s is not explained; add it to metricRemedies", m.Name)
		}
		delete(remedies, m.Name)
		kind := strings.TrimSpace(m.Kind + " " + m.Unit)
		fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s | %s | %s |\n", m.Name, m.TextName, kind, codeList(m.Labels), m.Help, remedy)
	}
	b.WriteString(`
## Log lines

Lines are JSON with ` + "`time`, `level`, `subsystem`, `host`, `message`" + ` and the fields below. Levels are set in the
[settings](settings.md); debug lines are off by default.

| subsystem | level | message | fields | meaning | what to do |
|---|---|---|---|---|---|
`)
	notes := logExplanations()
	slices.SortStableFunc(s.lines, func(a, b logLine) int {
		return cmp.Compare(notes[a.message].subsystem, notes[b.message].subsystem)
	})
	used := map[string]bool{}
	for _, l := range s.lines {
		n, ok := notes[l.message]
		if !ok {
			return "", fmt.Errorf("log message %q of package %s is not explained; add it to logExplanations", l.message, l.pkg)
		}
		used[l.message] = true
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", n.subsystem, l.level, l.message, codeList(l.fields), n.meaning, n.remedy)
	}
	maps.DeleteFunc(notes, func(m string, _ logExplanation) bool { return used[m] })
	if len(remedies)+len(notes) > 0 {
		return "", fmt.Errorf("explained but not in the source: %v", slices.Concat(slices.Sorted(maps.Keys(remedies)), slices.Sorted(maps.Keys(notes))))
	}
	return b.String(), nil
}

func codeList(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return "`" + strings.Join(names, "`, `") + "`"
}
