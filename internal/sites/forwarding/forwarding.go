// Package forwarding decides which requests are forwarded to another site, and to which one. It has no I/O, clock or
// goroutines; the caller passes the time and owns the state.
//
// A site's own endpoints come first: a request is forwarded only after the site that received it could not serve it, as
// package lbpolicy decides there. The other site's gateway treats a forwarded request like a request of its own clients.
// This package limits how many requests are forwarded, so that a site that takes over is not overloaded by all the requests
// that a failed site lost at the same moment:
//
//   - Each site has a concurrency limit for each priority weight. The limit starts small, grows with the requests that are
//     served while it is in use, and shrinks when the site rejects a request or fails. It grows by one for each request
//     served, which doubles it each round trip (RFC 5681, slow start). From the value that the last decrease left, it grows
//     by one each round trip (RFC 5681, congestion avoidance).
//   - Requests of low weights are held back first. A request that is served raises the limits of its weight and of all
//     higher ones. A request that is rejected lowers the limits of its weight and of all lower ones, because the other site
//     rejects low weights first. So a higher weight never has a lower limit.
//   - After a rejection the weight of the request and all lower ones back off for a short time, so that rejections cost
//     little.
//   - Of several sites the one with the lowest cost is chosen. The cost consists of the used part of the site's limit, its
//     round trip and its own state. The site chosen last is chosen again until another one is cheaper by a margin.
package forwarding
