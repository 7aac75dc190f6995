"""Tests of parsing and validating the settings."""

import pathlib

import hypothesis
from hypothesis import strategies as st
import pytest

from sassafrasridge_core import settings

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
VALID = (EXAMPLES / 'both.ini').read_text()
VALID = VALID.replace('/var/lib/sassafrasridge', 'data')


def load_settings(text):
    return settings.parse_settings(
        text, 'x.ini', lambda path: b's' * 32, '/etc/x'
    )


def mistakes_of(text, read=lambda path: b's' * 32):
    with pytest.raises(settings.InvalidSettingsError) as caught:
        settings.parse_settings(text, 'x.ini', read)
    return {(m.section, m.key): m for m in caught.value.mistakes}


class TestCheck:
    @pytest.mark.parametrize('role', ['entry', 'control', 'both'])
    def test_example_files_are_valid(self, role):
        """Guards against example files that the daemon rejects."""
        result = load_settings((EXAMPLES / f'{role}.ini').read_text())
        assert (result.control is not None) == (role != 'entry')
        assert (result.entry is not None) == (role != 'control')

    def test_values_are_converted_to_their_types(self):
        """Guards against wrong units and wrongly resolved paths."""
        text = VALID.replace('[log]', '[timing]\nlease = 900ms\n[log]')
        result = load_settings(text)
        assert result.node.data_folder == '/etc/x/data'
        assert result.node.roles == {'entry', 'control'}
        assert result.node.cluster_secret == b's' * 32
        assert result.entry.control == {'zone1': ['127.0.0.1:7001']}
        assert result.entry.max_body == 1024 * 1024
        assert result.control.members == {'node1': '127.0.0.1:7001'}
        assert result.timing.lease == 0.9
        assert result.timing.renew_interval == 0.3

    def test_regions_map_zones_to_regions(self):
        """Guards against a statement that runs outside its home regions."""
        text = VALID.replace('[log]', '[regions]\nz1 = north\n[log]')
        assert load_settings(text).regions == {'z1': 'north'}
        assert load_settings(VALID).regions == {}
        text = VALID.replace('[log]', '[regions]\nz1 =\n[log]')
        assert ('regions', 'z1') in mistakes_of(text)

    def test_advertised_address_must_be_the_one_in_members(self):
        """Guards against a member address that other daemons can't reach."""
        text = VALID.replace(
            '[control]', 'advertise_rpc = 127.0.0.9:7001\n[control]'
        )
        assert ('control', 'members') in mistakes_of(text)
        text = text.replace('node1=127.0.0.1:7001', 'node1=127.0.0.9:7001')
        assert load_settings(text).node.advertise_rpc == '127.0.0.9:7001'

    def test_policy_must_be_a_known_name(self):
        """Guards against a misspelt policy that is silently ignored."""
        result = load_settings(VALID)
        assert result.control.policy == result.entry.policy == 'adaptive'
        text = VALID.replace('[entry]', '[entry]\npolicy = plain')
        assert load_settings(text).entry.policy == 'plain'
        text = VALID.replace('[entry]', '[entry]\npolicy = fair')
        assert ('entry', 'policy') in mistakes_of(text)

    def test_target_limits_are_fixed_unless_learned(self):
        """Guards against a changed default for existing deployments."""
        assert load_settings(VALID).entry.target_limits == 'fixed'
        text = VALID.replace('[entry]', '[entry]\ntarget_limits = learned')
        assert load_settings(text).entry.target_limits == 'learned'
        text = VALID.replace('[entry]', '[entry]\ntarget_limits = free')
        assert ('entry', 'target_limits') in mistakes_of(text)

    def test_every_mistake_is_reported(self):
        """Guards against reporting one mistake per start of the daemon."""
        found = mistakes_of(
            'stray\n'
            '[node]\nname = a b\nhttp = localhost:80\nrpc = 127.0.0.1:70000\n'
            'roles = entry, boss\ncolour = red\nname = c\nwhat\n'
            '[entry]\ncontrol = 127.0.0.1:1\nworker_threads = 2s\n'
            '[timing]\nlease = 300\nrenew_interval = 1h\n[extra]\n'
            '[log]\nlevel = loud\n[log]\n'
        )
        assert set(found) == {
            ('', ''),
            ('node', 'name'),
            ('node', 'zone'),
            ('node', 'region'),
            ('node', 'http'),
            ('node', 'rpc'),
            ('node', 'roles'),
            ('node', 'cluster_secret_file'),
            ('node', 'colour'),
            ('entry', 'control'),
            ('entry', 'worker_threads'),
            ('timing', 'lease'),
            ('timing', 'renew_interval'),
            ('extra', ''),
            ('log', ''),
            ('log', 'level'),
        }
        lease = str(found['timing', 'lease'])
        assert lease.startswith(
            "x.ini: [timing] lease: found '300', allowed: "
        )
        assert '300ms' in lease

    def test_no_secret_in_a_mistake(self):
        """Guards against tokens and secrets in logs and terminal output."""

        def read(path):
            raise FileNotFoundError(2, 'No such file')

        text = VALID.replace('cluster-secret', 'hunter2')
        text = text.replace('ana = ', 'ana = hunter3')
        text += '[targets]\nannounce_token_digest = hunter4\ntoken = hunter5\n'
        found = mistakes_of(text, read)
        assert set(found) == {
            ('node', 'cluster_secret_file'),
            ('operators', 'ana'),
            ('targets', 'announce_token_digest'),
            ('targets', 'token'),
        }
        assert 'hunter' not in ' '.join(map(str, found.values()))

    @pytest.mark.parametrize(
        ('old', 'new', 'wrong_key'),
        [
            ('node1=127.0.0.1:7001', 'node1=127.0.0.1:7', 'members'),
            ('node1=127.0.0.1:7001', 'b=127.0.0.1:7', 'members'),
            ('data_folder = data', '', 'data_folder'),
            ('roles = entry, control', 'roles = control', ''),
            ('[log]', '[timing]\nlease = 500ms\n[log]', 'lease'),
            ('[log]', '[timing]\nconfig_ttl = 1s\n[log]', 'config_ttl'),
            ('[log]', '[timing]\nconfig_ttl = 8s\n[log]', 'config_ttl'),
            ('[log]', f'bob = {"0" * 63}1\n[log]', 'bob'),
        ],
    )
    def test_settings_that_contradict_each_other(self, old, new, wrong_key):
        """Guards against contradictory leases, members and roles."""
        found = mistakes_of(VALID.replace(old, new))
        assert {key for _, key in found} == {wrong_key}

    @hypothesis.given(
        st.lists(st.sampled_from(VALID.splitlines()) | st.text(max_size=12))
    )
    @hypothesis.settings(deadline=None)
    def test_any_text_is_checked_or_refused(self, lines):
        """Guards against an unhandled exception instead of a mistake list."""
        try:
            assert load_settings('\n'.join(lines)).node.name
        except settings.InvalidSettingsError as exc:
            assert exc.mistakes

    def test_short_cluster_secret_is_refused(self):
        """Guards against a cluster secret that is short enough to guess."""
        found = mistakes_of(VALID, lambda path: b' short\n')
        assert set(found) == {('node', 'cluster_secret_file')}


class TestUnits:
    @pytest.mark.parametrize(
        ('text', 'seconds'),
        [('300ms', 0.3), ('1.2s', 1.2), ('1min', 60.0)],
    )
    def test_durations_are_converted_to_seconds(self, text, seconds):
        """Guards against parsing milliseconds as seconds."""
        assert settings.parse_duration(text, 0.0, 60.0) == seconds
