// Package forwarding decides which requests are forwarded to another site, and to which one. It has no I/O, clock or
// goroutines; the caller passes the time and owns the state.
//
// A request is forwarded only after its own site could not serve it, as package lbpolicy decides there: the site's own
// endpoints come first. The other site's gateway treats a forwarded request as one of its own clients'. This package
// decides how much is sent there at all, so that a site that takes over is not overloaded by everything that another one
// has lost in the same moment:
//
//   - Each site has a concurrency limit for each priority weight. It starts small, grows with what is served while it is
//     in use and shrinks when the site rejects or fails. It grows by one for each request served, which doubles it each
//     round trip, and above the last limit that was too high by one each round trip (RFC 5681, slow start and congestion
//     avoidance).
//   - Low weights stop first. What is served of one weight raises the limits of that weight and all higher ones; what is
//     rejected lowers those of that weight and all lower ones, as the other site rejects low weights first. So the limits
//     are in the order of the weights.
//   - A weight that is rejected there backs off for a moment, with all lower ones, so that rejections cost little.
//   - Of several sites the one with the lowest cost is chosen: the part of its limit that is in use, its round trip and
//     its own state. The site that was chosen last keeps its place until another is better by a margin.
package forwarding
