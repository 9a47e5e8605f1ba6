package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route is a route of the manifest.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"path_prefix"`
	Kind        string `json:"kind"`
	Timeout     int    `json:"timeout_ms"`
	Objective   int    `json:"target_latency_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	Sticky      bool   `json:"sticky,omitempty"`
	GapTarget   int    `json:"gap_target_ms,omitempty"`
}

type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	MaxConns   int    `json:"max_conns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
	// Engine is set for a service of model runners.
	Engine *engineSpec `json:"engine,omitempty"`
}

type manifest struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

const callerHost = "muestreo.example"

// newManifest returns a manifest with an unsafe route for each service.
func newManifest(services ...string) manifest {
	m := manifest{Version: 1, Limits: map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
	for _, s := range services {
		m.Routes = append(m.Routes, route{
			Name: "r-" + s, Host: callerHost, Prefix: "/" + s + "/", Kind: "unsafe", Timeout: 1200, Objective: 200, Priority: 2, Service: s, MaxAttempts: 1,
		})
		m.Services = append(m.Services, service{Name: s, HealthPath: "/healthz", MaxConns: 110, Protocol: "h1"})
	}
	return m
}

// submit sends a manifest to one control machine after the other until one acknowledges it. It returns the time of the acknowledgement after
// the start of the case, or 0 if the context ended before.
func (w *world) submit(ctx context.Context, m manifest, control []int) time.Duration {
	body, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for i := 0; ctx.Err() == nil; i++ {
		url := "http://" + w.network.address(control[i%len(control)], portControl) + "/api/Config.Replace"
		answer := "no answer"
		res, err := client.Post(url, "application/json", bytes.NewReader(body))
		if err == nil {
			text, _ := io.ReadAll(io.LimitReader(res.Body, 300))
			res.Body.Close()
			answer = fmt.Sprintf("%d %s", res.StatusCode, text)
			if res.StatusCode == http.StatusOK {
				at := time.Since(w.record.began)
				w.record.line("manifest %d acknowledged by machine %d", m.Version, control[i%len(control)])
				return at
			}
		}
		if answer != last {
			w.record.line("manifest %d sent to machine %d: %s", m.Version, control[i%len(control)], answer)
			last = answer
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}
