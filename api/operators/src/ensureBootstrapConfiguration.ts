import type { ConfigurationPublisher } from "@knapweedwood/config.publishing/configurationPublisher";
import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

const PLATFORM_TEAM = "platform" as TeamId;
const BOOTSTRAP_KEY_ID = "bootstrap" as KeyId;

/**
 * Publishes the first configuration, with the platform operators' team and its first key, if there is none yet. Several
 * entries may do so at once: with the same key their records are equal, so that only one of them publishes.
 *
 * @param opts.platformKeyHash SHA-256 digest of the first key, in hexadecimal
 */
export async function ensureBootstrapConfiguration(
    opts: { publisher: ConfigurationPublisher; platformKeyHash: string; },
): Promise<void> {
    if (await opts.publisher.current() !== undefined) {
        return;
    }
    await opts.publisher.publish({
        actor: "bootstrap",
        message: "first configuration",
        changes: [
            {
                kind: "put",
                record: {
                    kind: "team",
                    team: { teamId: PLATFORM_TEAM, displayName: "Platform operators", weight: 1, limits: {} },
                },
            },
            {
                kind: "put",
                record: {
                    kind: "key",
                    teamId: PLATFORM_TEAM,
                    key: {
                        keyId: BOOTSTRAP_KEY_ID,
                        keyHash: opts.platformKeyHash.toLowerCase(),
                        role: "platform-operator",
                        name: "first key, from the settings",
                        createdAtMs: 0,
                    },
                },
            },
        ],
    });
}
