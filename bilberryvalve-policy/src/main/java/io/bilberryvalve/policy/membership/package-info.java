/**
 * Members of the federation, entry lists, peer selection and drain.
 */
@NullMarked
package io.bilberryvalve.policy.membership;

import org.jspecify.annotations.NullMarked;
