Feature: A call that may not be repeated runs at most once

  Scenario Outline: Sent, and sent again through every gateway at once
    Given a confirmation with a key, and <before>
    When it is sent through the <gateway>, and <during> while it runs
    And it is sent again through every gateway at once
    And everything is healed
    Then it has run <runs>, and callers were told <first>, then <later>

    Examples: The owner runs it
      | before                  | gateway | during                 | runs  | first           | later           |
      | no failure              | owner   | no failure             | once  | answered        | answered        |
      | no failure              | entry   | no failure             | once  | answered        | answered        |
      | no failure              | away    | no failure             | once  | answered        | answered        |
      | refuse west-ledger-1    | entry   | no failure             | once  | answered        | answered        |
      | store down              | entry   | no failure             | once  | answered        | answered        |
      | isolate west            | entry   | no failure             | once  | answered        | any             |

    Examples: Something is lost while it runs
      | before                  | gateway | during                 | runs  | first           | later           |
      | reply lost              | entry   | no failure             | once  | unknown         | unknown         |
      | no failure              | entry   | kill owner             | once  | unknown         | unknown         |
      | no failure              | entry   | kill witness           | once  | answered        | answered        |
      | no failure              | entry   | kill owner and witness | once  | unknown         | unknown         |
      | no failure              | entry   | freeze owner           | once  | unknown         | unknown         |
      | no failure              | entry   | freeze witness         | once  | answered        | answered        |
      | no failure              | entry   | stop owner             | once  | answered        | answered        |
      | no failure              | owner   | stop owner             | once  | answered        | answered        |
      | no failure              | entry   | kill entry             | once  | none            | answered        |
      | no failure              | entry   | freeze entry           | once  | none            | answered        |
      | no failure              | entry   | cut entry to owner     | once  | known-later     | any             |
      | no failure              | entry   | cut owner to witness   | once  | answered        | answered        |

    Examples: Something is lost before it can run
      | before                  | gateway | during                 | runs  | first           | later           |
      | kill owner              | entry   | no failure             | never | not-run         | not-run         |
      | kill witness            | entry   | no failure             | never | not-run         | not-run         |
      | kill owner and witness  | entry   | no failure             | never | unknown         | unknown         |
      | freeze owner            | entry   | no failure             | never | not-run         | not-run         |
      | freeze witness          | entry   | no failure             | never | not-run         | not-run         |
      | freeze owner and witness | entry  | no failure             | never | unknown         | unknown         |
      | cut entry to owner      | entry   | no failure             | never | not-run         | not-run         |
      | mute entry to owner     | entry   | no failure             | once  | answered        | answered        |
      | cut owner to witness    | entry   | no failure             | never | not-run         | not-run         |
      | mute owner to witness   | entry   | no failure             | never | not-run         | not-run         |

  Scenario Outline: With an Idempotency-Key of the caller
    Given a confirmation with an Idempotency-Key, and <before>
    When it is sent through the <gateway>, and <during> while it runs
    And it is sent again through every gateway at once
    And everything is healed
    Then it has run <runs>, and callers were told <first>, then <later>

    Examples:
      | before       | gateway | during     | runs  | first    | later    |
      | no failure   | entry   | no failure | once  | answered | answered |
      | store losing | entry   | no failure | once  | answered | answered |
      | store down   | entry   | no failure | never | unknown  | unknown  |
      | no failure   | owner   | kill owner | once  | none     | unknown  |

  Scenario: A region cut off from the others and from the store goes on
    Given a confirmation without a key, and isolate west
    Then it gets a key with a witness, and is answered once
    When the owner is killed and started again while still cut off
    Then it gets a key with a witness, and is answered twice
