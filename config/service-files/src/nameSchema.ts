import { z } from "zod";

const MAX_NAME_CHARACTERS = 128;

/** Schema of the names of services, teams, models, adapters and versions. They appear in URLs and keys. */
export const nameSchema = z.string()
    .max(MAX_NAME_CHARACTERS)
    .regex(
        /^[A-Za-z0-9][A-Za-z0-9._:-]*$/,
        "expected letters, digits, '.', '_', ':' and '-', starting with a letter or digit",
    );
