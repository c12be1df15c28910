package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["pending"] = pendingAfterChange }

// pendingAfterChange lets jobs wait while a configuration removes the route of their queue and
// adds one of another name at the same host and prefix.
func pendingAfterChange(en *env) int {
	en.workers(1, 8000)
	time.Sleep(2 * time.Second)
	en.cl.submit(queues[0], "00000000000000ff", job(12, 60000, 2000))
	time.Sleep(time.Second)
	for i := range 10 {
		en.cl.submit(queues[0], fmt.Sprintf("%016x", i+1), job(3, 500, 2000))
	}
	version := 4
	body := configuration(version, 0)
	if en.trouble {
		var m map[string]any
		_ = json.Unmarshal(body, &m)
		m["routes"].([]any)[0].(map[string]any)["name"] = "r-new"
		body, _ = json.Marshal(m)
	}
	time.Sleep(6 * time.Second)
	en.cl.order(0, "POST", "/Config.Replace", body)
	time.Sleep(3 * time.Second)
	v := en.cl.fronts[1]
	status, text := en.cl.send(3*time.Second, "GET", fmt.Sprintf("%s:%d", v.ip, en.cl.front), queues[0].host, queues[0].prefix, nil)
	en.rec.printf("client: GET %s -> %d %s", queues[0].prefix, status, text)
	var msg struct{ Pending int }
	_ = json.Unmarshal([]byte(text), &msg)
	if status == 200 && msg.Pending < 5 {
		return en.report([]string{fmt.Sprintf("10 accepted jobs wait, and %d are given as pending", msg.Pending)})
	}
	return held
}
