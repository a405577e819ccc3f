import { z } from "zod";

const MAX_NAME_CHARACTERS = 128;

/** Names of services, teams, models, adapters and versions, as they stand in URLs and keys. */
export const nameSchema = z.string()
    .max(MAX_NAME_CHARACTERS)
    .regex(
        /^[A-Za-z0-9][A-Za-z0-9._:-]*$/,
        "expected letters, digits, '.', '_', ':' and '-', beginning with one of the first two",
    );
