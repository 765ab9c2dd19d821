# A sample of silvertrail's configuration. `silvertrail check deploy/silvertrail.hcl` accepts it; docs/OPERATING.md
# explains it. Times and sizes carry their units. The order of blocks means nothing.

# What concerns the whole program. All of it has defaults.
process {
  zones = ["sala-centro", "sala-norte", "sala-sur"]
  zone  = "sala-centro" # where this process stands: its own zone's endpoints are preferred

  sockets     = 1024    # descriptors; half for callers, half for endpoints
  calls       = 4096    # requests in work, of all clusters together
  body_memory = "32MiB" # of requests' bodies, likewise
  keys        = 65536   # of keyed requests, remembered at most
  stop        = "5s"    # from SIGTERM to the last answer

  default_class = "consulta" # of requests that name none, on routes that give none

  fleet  = 3 # processes that share these endpoints
  member = 0 # and which of them this is, from 0
}

# Classes say what a request is worth, how long it may take and how often it may take effect.
class "consulta" {
  aim      = "2s" # wanted within
  deadline = "5s" # given up after
  worth    = 1
  effect   = "safe" # may be repeated: GET, HEAD, OPTIONS
}

class "reserva" {
  aim      = "2s"
  deadline = "5s"
  worth    = 10      # served when there is too little for all
  effect   = "keyed" # carries an Idempotency-Key, by which endpoints drop repeats
  scope    = "zone"  # the endpoints of one zone know each other's keys
  window   = "7.5s"  # for so long

  keep          = "30s"  # after its window a key is known for so long: its repeats fail and are not taken for new
  check_repeats = true   # a key that comes with another target or body is told so (422)
  concurrent    = "send" # what repeats get while the first is in work; "conflict" turns them away (409)
}

class "aviso" {
  aim      = "1s"
  deadline = "3s"
  worth    = 3
  effect   = "unsafe" # never again once it may have run
}

# Tenants and their agreed requests a second. What goes beyond that counts as of low worth.
tenant "colegio-san-lucas" {
  rate = 340
}

tenant "escuela-alameda" {
  rate = 270
}

# Callers who are known, by their networks or by the certificates that they show. Who is in no block is of the others.
clients "secretarias" {
  networks = ["10.20.0.0/16", "192.0.2.10-192.0.2.40"]
  # file   = "secretarias.txt" # more of them, one a line; read with this file
  # certificates = ["*.secretarias.example"] # where a listener has a tls block with an authority
}

# Many parents behind one address: in a shortage it gives way like sixty addresses, and not like one.
clients "ciber-centro" {
  networks    = ["198.51.100.7"]
  weight      = 60
  per_address = 120
}

clients "kept-out" {
  networks = ["203.0.113.0/24"]
  deny     = true
}

listener "public" {
  address     = "127.0.0.1:8080"
  connections = 400
  per_address = 40  # connections of one address of the others; none told: as many as there is room for
  rate        = 20  # new ones a second, of one address
  burst       = 60  # and at once
  guard       = "2s" # for so long an idle connection does not end in favour of an address that holds more

  reserve "secretarias" {
    places = 60 # that nobody else takes
    most   = 200
  }
  # tls {
  #   certificate = "gate.pem"    # these files may be replaced at any time
  #   key         = "gate.key"
  #   authority   = "callers.pem" # of callers' certificates; without it none are asked for
  #   required    = false
  # }
}

listener "inner" {
  address     = "127.0.0.1:8081"
  connections = 100
  trusted     = true # its callers' X-Forwarded-For is kept and added to
}

# Clusters are groups of endpoints that stand in for each other. Sources of one cluster are merged: a drain told by any
# of them holds, and one that is out of reach takes nothing away.
cluster "portal" {
  connect_timeout = "250ms"
  idle            = "5s" # a connection is not used again after standing idle for so long
  max_attempts    = 3
  warm_up         = "20s" # what has just started gets less for so long
  start_capacity  = 0.15  # and this share at first
  load_report     = ["util"]

  reserve = "30%" # of sockets, calls and body memory: nobody else's
  most    = "60%" # and never more than this

  endpoint "portal-1" {
    address = "127.0.0.1:9001"
    zone    = "sala-centro"
  }
  endpoint "portal-2" {
    address = "127.0.0.1:9002"
    zone    = "sala-norte"
  }
  # A file that is replaced atomically; its path is taken from this file's folder.
  file {
    path = "portal.json"
    poll = "200ms"
  }
}

cluster "portal-sur" {
  dns {
    name   = "portal.sala-sur.example"
    type   = "SRV"
    server = "127.0.0.1:5353"
    zone   = "sala-sur"
  }
}

cluster "padron" {
  registry {
    address = "127.0.0.1:8500"
  }
}

# Of all routes that match a request the best one counts: host, then path, then method, headers, query and so on.
route "seats" {
  match {
    hosts    = ["inscripciones.example", "*.inscripciones.example"]
    template = "/schools/{school}/seats"
    methods  = ["GET", "HEAD"]
  }
  class    = "consulta"
  timeout  = "1500ms"
  cluster  = "portal"
  failover = "portal-sur" # for what is safe to repeat, and for what never ran
}

route "confirm" {
  match {
    prefix  = "/reserva"
    methods = ["POST"]
  }
  class        = "reserva"
  max_attempts = 2
  to "portal" {
    weight = 9
  }
  to "portal-sur" {
    weight = 1
  }
  set_headers    = { "X-Entry" = "gateway" }
  remove_headers = ["X-Debug"]
}

route "padron" {
  match {
    listeners = ["inner"]
    prefix    = "/padron"
    headers   = { "X-Client" = "*" } # there, whatever its value
    query     = { "v" = "2" }
  }
  cluster  = "padron"
  rewrite  = "/v2"
  split_by = "tenant"
}

route "old" {
  match {
    path = "/inscripciones"
  }
  redirect {
    status = 308
    path   = "/schools"
  }
}

route "robots" {
  match {
    path = "/robots.txt"
  }
  respond {
    status  = 200
    body    = "User-agent: *\nDisallow: /\n"
    headers = { "Content-Type" = "text/plain" }
  }
}
