package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// invalidConfiguration sends a configuration with a closing brace too many, which is no
// valid JSON. It also leaves out a route of the version in force.
func invalidConfiguration(d *deployment, trouble bool) ([]string, error) {
	suffix := ""
	if trouble {
		suffix = "}"
	}
	extra := `,{"name":"r-3","host":"fiti832","path_prefix":"/","kind":"primary","timeout_ms":800,"target_latency_ms":150,"priority":0,"service":"huvo11a","max_attempts":2}`
	body := configuration(12, extra) + suffix
	status := d.replace(body)
	d.rec.say("the operator sends version 12, %d bytes that are valid JSON: %t; the answer is %d", len(body), json.Valid([]byte(body)), status)
	time.Sleep(3 * time.Second)
	fetched := d.fetch()
	d.rec.say("read back: %d bytes, valid JSON: %t, the bytes of version 12: %t", len(fetched), json.Valid([]byte(fetched)), fetched == body)
	c, err := open(d.rec, "c", d.entryAddress(0), "fiti832")
	if err == nil {
		c.close()
	}
	d.rec.say("a session of a database that only version 12 has: %v", orServed(err))
	if !trouble {
		if status != http.StatusOK || err != nil {
			return nil, fmt.Errorf("a valid configuration is answered with %d, its new database with %v", status, err)
		}
		return nil, nil
	}
	var findings []string
	if status == http.StatusOK {
		findings = append(findings, "CONFIG: an invalid configuration is acknowledged")
	}
	if err == nil {
		findings = append(findings, "CONFIG: an invalid configuration is in force")
	}
	return findings, nil
}

func orServed(err error) string {
	if err == nil {
		return "served"
	}
	return err.Error()
}
