package examples

import (
	"fmt"

	"toucanway/core/config"
)

// KopiLintasData returns the organisation that runs an assistant for route sales across Java: short calls from motorbikes, and
// orders, which are non-idempotent.
func KopiLintasData() *Organisation {
	o := &Organisation{
		Folder: "kopi-lintas-data", Title: "Kopi Lintas Data", Network: 20, LoadsPerSecond: 3, AdapterPrefix: "warung",
		Regions: []Region{
			{"jawa-barat", []string{"bandung-1", "bandung-2"}},
			{"jawa-tengah", []string{"semarang-1", "semarang-2"}},
			{"jawa-timur", []string{"surabaya-1", "surabaya-2"}},
		},
		Tasks: []Task{
			{"quick-chat", 6, "48KiB", []string{"min-replicas: 1", "max-replicas: 6", "keep-warm: {min: 2m, max: 30m}"}},
			{"order-suggestion", 14, "96KiB", []string{"min-replicas: 2", "max-replicas: 6", "pinned: true", "spread: regions", "keep-warm: {min: 2m, max: 30m}"}},
			{"visit-summary", 14, "96KiB", []string{"max-replicas: 4", "keep-warm: {min: 1m, max: 20m}"}},
			{"day-review", 28, "160KiB", []string{"max-replicas: 2"}},
		},
		Groups: []string{
			"bandung", "bogor", "cirebon", "garut", "tasikmalaya", "semarang", "solo", "tegal", "kudus", "magelang",
			"surabaya", "malang", "kediri", "jember", "madiun",
		},
		Operators: []Operator{
			{"agus", []config.Section{config.SectionOwners, config.SectionLimits}},
			{"rina", []config.Section{config.SectionModels}},
			{"budi", []config.Section{config.SectionRegions, config.SectionCapacity}},
			{"dewi", []config.Section{config.SectionCallers, config.SectionServices}},
		},
		Services: []Service{
			{"orders", []string{
				"method: GET, path-prefix: /orders, idempotent: true", "method: POST, path-prefix: /orders, idempotent: false",
			}},
			{"prices", []string{"method: GET, path-prefix: /prices, idempotent: true"}},
		},
		Limits: []string{
			"default-deadline: 20s", "max-deadline: 5m", "retry-share: 0.1", "max-body: 256KiB", "ledger-retention: 168h", "drain-bound: 120s",
		},
	}
	for _, r := range o.Regions {
		o.Tenants = append(o.Tenants,
			Tenant{"sales-" + r.Name, 4, []Caller{
				{"order-app-" + r.Name, "critical"}, {"chat-app-" + r.Name, "interactive"}, {"visit-app-" + r.Name, "interactive"},
			}},
			Tenant{"depots-" + r.Name, 2, []Caller{{"depot-review-" + r.Name, "standard"}}},
		)
	}
	o.Tenants = append(o.Tenants, Tenant{"planning", 1, []Caller{{"nightly-suggestions", "batch"}}})
	return o
}

// Asociacion returns the organisation of an association of audit firms: long requests for drafts, and memos of partners, which
// have a higher priority class.
func Asociacion() *Organisation {
	const firms = 8
	o := &Organisation{
		Folder: "asociacion", Title: "Asociación Guatemalteca de Auditoría por Muestreo", Network: 30, LoadsPerSecond: 4, AdapterPrefix: "client",
		Regions: []Region{
			{"guatemala", []string{"zona-4", "zona-10"}},
			{"altiplano", []string{"quetzaltenango-1"}},
			{"oriente", []string{"zacapa-1", "zacapa-2"}},
		},
		Tasks: []Task{
			{"sampling-draft", 28, "160KiB", []string{"min-replicas: 1", "max-replicas: 5", "keep-warm: {min: 5m, max: 45m}"}},
			{"item-explanation", 14, "96KiB", []string{"min-replicas: 1", "max-replicas: 4"}},
			{"fieldwork-log", 6, "48KiB", []string{"max-replicas: 4"}},
			{"partner-review", 28, "160KiB", []string{"min-replicas: 2", "max-replicas: 4", "pinned: true", "spread: regions"}},
		},
		Groups: []string{
			"banking", "insurance", "coffee", "sugar", "retail", "textiles", "energy", "transport", "cooperatives", "municipal",
		},
		Operators: []Operator{
			{"lucia", []config.Section{config.SectionOwners, config.SectionLimits}},
			{"mateo", []config.Section{config.SectionModels}},
			{"ixchel", []config.Section{config.SectionRegions, config.SectionCapacity}},
			{"pablo", []config.Section{config.SectionCallers, config.SectionServices}},
		},
		Services: []Service{
			{"workpapers", []string{
				"method: GET, path-prefix: /, idempotent: true", "method: POST, path-prefix: /selections, idempotent: false",
				"method: POST, path-prefix: /sign-offs, idempotent: false", "method: PUT, path-prefix: /notes, idempotent: true",
			}},
		},
		Limits: []string{
			"default-deadline: 60s", "max-deadline: 10m", "retry-share: 0.1", "long-work-share: 0.6", "max-body: 4MiB", "ledger-retention: 720h",
			"drain-bound: 120s",
		},
	}
	for n := range firms {
		firm := fmt.Sprintf("firm-%d", n+1)
		o.Tenants = append(o.Tenants, Tenant{firm, 1 + n%3, []Caller{
			{firm + "-partners", "critical"}, {firm + "-explanations", "interactive"}, {firm + "-drafting", "standard"},
			{firm + "-fieldwork", "standard"}, {firm + "-closing", "batch"},
		}})
	}
	return o
}
