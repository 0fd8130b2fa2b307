package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// newRoute is a route that only the corrected version 12 has.
const newRoute = `,{"name":"r-3","host":"fiti832","path_prefix":"/","kind":"primary","timeout_ms":800,"target_latency_ms":150,"priority":0,"service":"huvo11a","max_attempts":2}`

// applyTime is config_apply_ms, with a margin for this machine.
const applyTime = 4 * time.Second

// invalidConfiguration sends a configuration with a closing brace too many, which is no
// valid JSON, and then the corrected one under the same number.
func invalidConfiguration(d *deployment, trouble bool) ([]string, error) {
	var findings []string
	if trouble {
		findings = sendInvalid(d)
	}
	valid := configuration(12, newRoute)
	status := d.replace(valid)
	d.rec.say("the operator sends a valid version 12; the answer is %d", status)
	time.Sleep(applyTime)
	fetched := d.fetch()
	d.rec.say("read back: %d bytes, valid JSON: %t, what was acknowledged: %t", len(fetched), json.Valid([]byte(fetched)), fetched == valid)
	c, err := open(d.rec, "c", d.entryAddress(0), "fiti832")
	if err == nil {
		c.close()
	}
	d.rec.say("a session of the database that the valid version 12 adds: %v", orServed(err))
	if !trouble && (status != http.StatusOK || err != nil || fetched != valid) {
		return nil, fmt.Errorf("a valid configuration is answered with %d and not in force: %w", status, err)
	}
	if status == http.StatusOK && fetched != valid {
		findings = append(findings, "CONFIG: the valid version 12 is acknowledged and not read back")
	}
	if status == http.StatusOK && err != nil {
		findings = append(findings, fmt.Sprintf("CONFIG: %v after the acknowledgement a database of it is refused: %v", applyTime, err))
	}
	return findings, nil
}

// sendInvalid sends the configuration with the additional brace.
func sendInvalid(d *deployment) []string {
	body := configuration(12, "") + "}"
	status := d.replace(body)
	d.rec.say("the operator sends version 12, %d bytes, valid JSON: %t; the answer is %d", len(body), json.Valid([]byte(body)), status)
	if status != http.StatusOK {
		return nil
	}
	findings := []string{"CONFIG: an invalid configuration is acknowledged"}
	if d.fetch() == body {
		findings = append(findings, "CONFIG: an invalid configuration is in force")
	}
	return findings
}

func orServed(err error) string {
	if err == nil {
		return "served"
	}
	return err.Error()
}
