"""The `[membership]` table: its conversion to settings, and the report of all its faults at once."""

import copy
from typing import Any

import pytest

from gateusher.config import platform
from gateusher.config.file import parse
from gateusher.config.membership import Membership
from gateusher.config.model import ConfigError

from ..net import configuration

VALID_CONFIG: dict[str, Any] = {
    "name": "s1",
    "nodes": [{"name": "n", "address": "127.0.0.1:9001"}],
    "classes": {"look": {"effect": "safe", "aim": 1.0, "deadline": 2.0}},
    "membership": {
        "listen": "127.0.0.1:7101",
        "keys": ["00" * 16, "11" * 16],
        "peers": ["s2@127.0.0.1:7102", "s3@[::1]:7103"],
    },
}


def with_membership(**overrides: Any) -> dict[str, Any]:
    data = copy.deepcopy(VALID_CONFIG)
    data["membership"] |= overrides
    return data


def test_a_valid_table_is_converted_to_settings_in_milliseconds() -> None:
    settings = parse(with_membership(period=0.5)).membership
    assert settings == Membership(
        name="s1",
        listen=("127.0.0.1", 7101),
        peers=(("s2", ("127.0.0.1", 7102)), ("s3", ("::1", 7103))),
        keys=(bytes(16), b"\x11" * 16),
        probe_period_ms=500.0,
        ack_timeout_ms=150.0,
        gossip_interval_ms=100.0,
        sync_interval_ms=5000.0,
        retry_interval_ms=5000.0,
    )
    learned = parse(with_membership(addresses="learnt", name="other")).membership
    assert (
        learned and learned.learn_addresses and learned.advertise == ("127.0.0.1", 7101) and learned.name == "other"
    )
    assert parse({k: v for k, v in VALID_CONFIG.items() if k != "membership"}).membership is None


@pytest.mark.parametrize(
    ("overrides", "message"),
    [
        ({"listen": "nowhere"}, "membership.listen: an address ip:port"),
        ({"listen": 7}, "membership.listen: Expected `str`"),
        ({"peer": []}, "membership.peer: unknown; did you mean 'peers'?"),
        ({"peers": ["s2"]}, "membership.peers[0]: name@ip:port wanted"),
        ({"peers": ["s2@host:1"]}, "membership.peers[0]: name@ip:port wanted, not an IP address"),
        ({"peers": ["s2@127.0.0.1:1", "s2@127.0.0.1:2"]}, "membership.peers[1]: another peer has this name"),
        ({"peers": ["s1@127.0.0.1:1"]}, "membership.peers[0]: 's1' is this sidecar's own name"),
        ({"peers": ["s2@127.0.0.1:7101"]}, "membership.peers[0]: this sidecar's own address"),
        ({"keys": []}, "membership.keys:"),
        ({"keys": ["abc"]}, "membership.keys[0]: at least 32 hexadecimal digits"),
        ({"keys": ["00" * 16] * 3}, "membership.keys:"),
        ({"name": "x" * 65}, "membership.name: 1 to 64 bytes"),
        ({"name": "a@b"}, "membership.name: 1 to 64 bytes"),
        ({"addresses": "dns"}, "membership.addresses: one of static, learnt"),
        ({"advertise": "127.0.0.1:1"}, 'only with addresses = "learnt"'),
        ({"timeout": 0.9}, "membership.timeout: at most half of the period, 0.5, found 0.9"),
        ({"bytes_per_second": 2000.0}, "membership.bytes_per_second: at least four datagrams, 4800"),
        ({"most_datagram": 255}, "membership.most_datagram:"),
        ({"period": 0}, "membership.period:"),
    ],
)
def test_each_fault_is_reported_with_its_path(overrides: dict[str, Any], message: str) -> None:
    with pytest.raises(ConfigError) as raised:
        parse(with_membership(**overrides))
    assert any(fault.startswith(message) or message in fault for fault in raised.value.faults)


def test_all_faults_are_reported_at_once_and_no_key_is_printed() -> None:
    with pytest.raises(ConfigError) as raised:
        parse(with_membership(listen="x", peers=["a", "b"], keys=["5ec3e7"], timeout=3.0))
    assert len(raised.value.faults) == 5
    assert "5ec3e7" not in str(raised.value)


# -- the platform's JSON


PLATFORM_PEERS = {"peer_listen": "10.0.0.4:7946", "peers": ["10.3.0.1:7946", "10.3.0.2:7946", "10.3.0.3:7946"]}


def platform_configuration(**overrides: Any) -> dict[str, Any]:
    config = configuration([], 8500, **overrides)
    config["settings"].setdefault("bounds", {})["peers"] = True
    config["settings"]["me"] = 1
    return config


def test_platform_membership_is_off_unless_enabled() -> None:
    assert platform.parse(platform_configuration(**PLATFORM_PEERS), {}).membership is None
    forbidden = platform_configuration(**PLATFORM_PEERS)
    forbidden["settings"]["bounds"]["peers"] = False
    assert platform.parse(forbidden, {"GATEUSHER_MEMBERS": "on"}).membership is None
    assert platform.parse(platform_configuration(), {"GATEUSHER_MEMBERS": "on"}).membership is None


def test_platform_members_are_named_by_their_index() -> None:
    settings = platform.parse(platform_configuration(**PLATFORM_PEERS), {"GATEUSHER_MEMBERS": "on"}).membership
    assert (
        settings
        and settings.name == "p1"
        and settings.listen == ("10.0.0.4", 7946)
        and settings.max_datagram_bytes == 256
    )
    assert settings.peers == (("p0", ("10.3.0.1", 7946)), ("p2", ("10.3.0.3", 7946)))
    other = platform.parse(
        {**platform_configuration(**PLATFORM_PEERS), "peer_listen": "10.0.0.5:7946"}, {"GATEUSHER_MEMBERS": "on"}
    )
    assert other.membership and other.membership.keys == settings.keys


def test_platform_faults_are_reported() -> None:
    config = platform_configuration(**{**PLATFORM_PEERS, "peers": ["x", "10.3.0.2:7946"]})
    config["settings"]["me"] = 7
    with pytest.raises(ConfigError) as raised:
        platform.parse(config, {"GATEUSHER_MEMBERS": "on"})
    assert [f.partition(":")[0] for f in raised.value.faults] == ["peers[0]", "settings.me"]
