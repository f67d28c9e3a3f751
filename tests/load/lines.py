# ruff: noqa: E501 - lines of logs are not wrapped
"""A sample line of each supported log format with the entry it stands for, after the published formats."""

from __future__ import annotations

from typing import NamedTuple

T0 = 1_770_703_200.0  # 2026-02-10T06:00:00Z


class Sample(NamedTuple):
    """A line of a log and the fields of its entry."""

    format: str | None  # value of --format; None if the format is detected
    kind: str  # name of the detected format
    line: str
    at: float  # in seconds after T0
    method: str = "GET"
    target: str = "/pallets/7?depot=a"
    address: str = "10.0.0.7"
    took: float = -1.0  # duration in seconds, -1 for unknown
    agent: str = ""
    zone: str | None = None  # value of --zone
    header: str = ""  # lines before the first entry


COMBINED = (
    '10.0.0.7 - frank [10/Feb/2026:14:00:05 +0800] "GET /pallets/7?depot=a HTTP/1.1" 200 2326 '
    '"https://app.example/" "Handheld/2 \\"x\\""'
)
SAMPLES = {
    "common": Sample(
        None,
        "common log format",
        '10.0.0.7 - - [10/Feb/2026:14:00:05 +0800] "GET /pallets/7?depot=a HTTP/1.1" 200 2326',
        5,
    ),
    "combined": Sample(None, "combined log format", COMBINED, 5, agent='Handheld/2 "x"'),
    "a leap second": Sample(
        "common", "", '10.0.0.7 - - [10/Feb/2026:05:59:60 +0000] "GET /pallets/7?depot=a HTTP/1.1" 200 -', 0
    ),
    "haproxy": Sample(
        None,
        "HAProxy HTTP log",
        "Feb 10 06:00:05 edge haproxy[14389]: 10.0.0.7:33317 "
        "[10/Feb/2026:06:00:05.655] http-in static/srv1 10/0/30/69/109 200 2750 - - ---- 1/1/1/1/0 0/0 "
        '{1wt.eu} {} "GET /pallets/7?depot=a HTTP/1.1"',
        5.655,
        took=0.109,
        zone="+00:00",
    ),
    "envoy": Sample(
        None,
        "Envoy default",
        '[2026-02-10T06:00:05.310Z] "GET /pallets/7?depot=a HTTP/2" 200 - 0 154 41 40 '
        '"10.0.0.7, 10.1.1.1" "curl/7" "cc21d9b0-cf5c" "api.example" "10.2.0.1:80"',
        5.31,
        address="",
        took=0.041,
        agent="curl/7",
    ),
    "alb": Sample(
        None,
        "AWS ALB",
        "h2 2026-02-10T06:00:06.000000Z app/lb/50dc6c 10.0.0.7:2817 10.0.0.66:9000 0.001 0.120 "
        '0.000 200 200 34 366 "GET https://api.example:443/pallets/7?depot=a HTTP/2.0" "curl/7.46.0" '
        'ECDHE-RSA-AES128-GCM-SHA256 TLSv1.2 arn:aws:x:y:targetgroup/t/73e2 "Root=1-58337262" "api.example" '
        '"arn:aws:acm:z" 0 2026-02-10T06:00:05.880000Z "forward" "-" "-" "10.0.0.66:9000" "200" "-" "-"',
        5.88,
        took=0.12,
        agent="curl/7.46.0",
    ),
    "w3c": Sample(
        None,
        "W3C extended",
        "2026-02-10 06:00:06 10.0.0.7 GET /pallets/7 depot=a 200 1500 Hand+held/2",
        4.5,
        took=1.5,
        agent="Hand held/2",
        header="#Software: IIS\n#Fields: date time c-ip cs-method cs-uri-stem "
        "cs-uri-query sc-status time-taken cs(User-Agent)\n",
    ),
    "caddy": Sample(
        None,
        "JSON lines of Caddy",
        '{"level":"info","ts":1770703206.5,"request":{"remote_ip":"10.0.0.7",'
        '"method":"GET","host":"api.example","uri":"/pallets/7?depot=a","headers":{"User-Agent":["curl/8"]}},'
        '"bytes_read":0,"duration":0.5,"status":200}',
        6,
        took=0.5,
        agent="curl/8",
    ),
    "traefik": Sample(
        None,
        "JSON lines of Traefik",
        '{"ClientHost":"10.0.0.7","Duration":20000000,"DownstreamStatus":200,'
        '"RequestHost":"api.example","RequestMethod":"GET","RequestPath":"/pallets/7?depot=a",'
        '"StartUTC":"2026-02-10T06:00:05.25Z"}',
        5.25,
        took=0.02,
    ),
    "nginx json": Sample(
        None,
        "JSON lines of nginx",
        '{"time_iso8601":"2026-02-10T14:00:05+08:00","remote_addr":'
        '"10.0.0.7","request":"GET /pallets/7?depot=a HTTP/1.1","status":"200"}',
        5,
    ),
    "nginx": Sample(
        'nginx:$msec|$remote_addr|$request_method|$request_uri|$status|$request_time|"$http_user_agent"',
        "",
        '1770703205.750|10.0.0.7|GET|/pallets/7?depot=a|200|0.250|"a\\x22b|c"',
        5.5,
        took=0.25,
        agent='a"b|c',
    ),
    "nginx, two clocks": Sample(
        'nginx:$time_local $msec $remote_addr "$request" $status',
        "",
        '10/Feb/2026:14:00:05 +0800 1770703205.125 10.0.0.7 "GET /pallets/7?depot=a HTTP/1.1" 200',
        5.125,
    ),
    "apache": Sample(
        'apache:%{X-Forwarded-For}i %h [%{%Y-%m-%dT%H:%M:%S%z}t] "%m %U%q" %>s %D',
        "",
        '- 10.0.0.7 [2026-02-10T14:00:05+0800] "GET /pallets/7?depot=a" 200 41000',
        5,
        took=0.041,
    ),
    "apache, ms": Sample(
        'apache:%a %{msec}t \\"%r\\" %s %{ms}T',
        "",
        '10.0.0.7 1770703205125 "GET /pallets/7?depot=a HTTP/1.0" 200 12',
        5.125,
        took=0.012,
    ),
    "IPv6": Sample(
        "combined", "", COMBINED.replace("10.0.0.7", "2001:db8::7"), 5, address="2001:db8::7", agent='Handheld/2 "x"'
    ),
    "a newline in quotes": Sample(
        "combined", "", COMBINED.replace("Handheld/2", "Hand\nheld"), 5, agent='Hand\nheld "x"'
    ),
    "a proxy's target": Sample(
        "common", "", COMBINED.partition(' "http')[0].replace("GET /", "GET http://api.example/"), 5
    ),
}

BROKEN = {  # invalid lines: the line and the field of the fault
    "empty request": ('10.0.0.7 - - [10/Feb/2026:14:00:05 +0800] "-" 400 0', "request"),
    "TLS on a plain port": ('10.0.0.7 - - [10/Feb/2026:14:00:05 +0800] "\\x16\\x03\\x01\\x02" 400 0', "request"),
    "no such day": ('10.0.0.7 - - [31/Feb/2026:14:00:05 +0800] "GET / HTTP/1.1" 200 0', "time"),
    "no zone": ('10.0.0.7 - - [10/Feb/2026:14:00:05] "GET / HTTP/1.1" 200 0', "time"),
    "no status": ('10.0.0.7 - - [10/Feb/2026:14:00:05 +0800] "GET / HTTP/1.1" - 0', "status"),
    "no target": ('10.0.0.7 - - [10/Feb/2026:14:00:05 +0800] "OPTIONS * HTTP/1.1" 200 0', "target"),
    "no log line": ("segfault at 0 ip 00007f", "line"),
}
